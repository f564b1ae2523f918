/** A logger whose volume is bounded: what is left out is counted, and the
 * count is written.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as logging from "./logger.ts";

/** Bounds of a logger. */
export interface LogBounds {
  /** Lines a second that are written over time. */
  readonly rate: number;
  /** Lines that may be written at once. */
  readonly burst: number;
}

/** Of a busy host some requests each second, with room for a bad minute: a
 * line costs about 20 microseconds. */
const BOUNDS: LogBounds = { rate: 60, burst: 600 };

/** Bounds what `logger` writes; errors are always written. */
export function bound(
  logger: logging.Logger,
  clock: runtime.Clock,
  { rate, burst }: LogBounds = BOUNDS,
): logging.Logger {
  let allowance = burst;
  let at = clock.now();
  let omitted = 0;
  const isAllowed = () => {
    const now = clock.now();
    allowance = Math.min(burst, allowance + (now - at) / 1000 * rate);
    at = now;
    if (allowance < 1) {
      omitted++;
      return false;
    }
    allowance--;
    if (omitted > 0) logger.warn({ omitted }, "Log lines were left out");
    omitted = 0;
    return true;
  };
  const write = (level: "info" | "warn") => (fields: object, text: string) => {
    if (isAllowed()) logger[level](fields, text);
  };
  return {
    debug: (fields, text) => logger.debug(fields, text),
    info: write("info"),
    warn: write("warn"),
    error: (fields, text) => logger.error(fields, text),
  };
}
