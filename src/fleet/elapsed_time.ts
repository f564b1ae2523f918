/** Elapsed time that also counts while the machine is suspended.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** A reading of both clocks: the monotonic clock may stop while the machine is
 * suspended, and the wall clock may be set. */
export interface Instant {
  readonly now: number;
  readonly wall: number;
}

/** Reads both clocks. */
export function instant(clock: runtime.Clock): Instant {
  return { now: clock.now(), wall: clock.wall() };
}

/** Milliseconds since an instant, by the clock that has advanced further. */
export function elapsedSince(since: Instant, clock: runtime.Clock): number {
  return Math.max(clock.now() - since.now, clock.wall() - since.wall);
}
