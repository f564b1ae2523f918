/** Standstills of this process, watched while it has connections to endpoints.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import * as standstill from "../runtime/standstill.ts";

/** Least milliseconds of a short standstill, and between two looks for one: an
 * endpoint that starts quickly may take the place of another one meanwhile. */
const SHORT_STANDSTILL_MS = 150;
const SHORT_INTERVAL_MS = 50;

const clock = {
  now: () => performance.now(),
  every(interval: number, action: () => void) {
    const timer = setInterval(action, interval).unref();
    return () => clearInterval(timer);
  },
};

let watch: standstill.StandstillWatch | undefined;
let shortWatch: standstill.StandstillWatch | undefined;
let shortWatchers = 0;

/** Watches for standstills from now on. */
export function start(): void {
  watch ??= standstill.StandstillWatch.start(clock);
}

/** Watches for short standstills, too, until the returned function is called. */
export function watchShort(): runtime.Cancel {
  shortWatchers++;
  shortWatch ??= standstill.StandstillWatch.start({
    ...clock,
    minimum: SHORT_STANDSTILL_MS,
    interval: SHORT_INTERVAL_MS,
  });
  let isWatched = true;
  return () => {
    if (!isWatched) return;
    isWatched = false;
    if (--shortWatchers > 0) return;
    shortWatch?.stop();
    shortWatch = undefined;
  };
}

/** Standstills that ended shortly before an event or since. */
export interface Surroundings {
  /** When the first of them began, by `performance.now`; infinite if there was none,
   * or only short ones that nobody watched. */
  begin(): number;
  /** Whether one of them was not short. */
  isLong(): boolean;
}

/** Returns what can be asked about an event that is noticed now. */
export function around(): Surroundings {
  const since = performance.now() - standstill.BACKLOG_MS;
  const beginOf = (each?: standstill.StandstillWatch) =>
    each?.beginOfEnded({ since }) ?? Infinity;
  return {
    begin: () => Math.min(beginOf(watch), beginOf(shortWatch)),
    isLong: () => beginOf(watch) < Infinity,
  };
}
