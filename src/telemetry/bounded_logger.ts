/** A logger with a rate limit. Omitted lines are counted, and the count is
 * logged with the next line that is written.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as logging from "./logger.ts";

/** Token-bucket limits of a logger. */
export interface LogBounds {
  /** Sustained rate in lines per second. */
  readonly rate: number;
  /** Maximum number of lines written at once. */
  readonly burst: number;
}

/** Covers part of a busy host's requests each second, with a burst for a minute
 * of unusually many lines; writing a line takes about 20 microseconds. */
const DEFAULT_BOUNDS: LogBounds = { rate: 60, burst: 600 };

/** Limits the rate of `info` and `warn` lines; errors are always written. */
export function bound(
  logger: logging.Logger,
  clock: runtime.Clock,
  { rate, burst }: LogBounds = DEFAULT_BOUNDS,
): logging.Logger {
  let tokens = burst;
  let refilledAt = clock.now();
  let omitted = 0;
  const tryTake = () => {
    const now = clock.now();
    tokens = Math.min(burst, tokens + (now - refilledAt) / 1000 * rate);
    refilledAt = now;
    if (tokens < 1) {
      omitted++;
      return false;
    }
    tokens--;
    if (omitted > 0) logger.warn({ omitted }, "Log lines omitted");
    omitted = 0;
    return true;
  };
  const write = (level: "info" | "warn") => (fields: object, text: string) => {
    if (tryTake()) logger[level](fields, text);
  };
  return {
    debug: (fields, text) => logger.debug(fields, text),
    info: write("info"),
    warn: write("warn"),
    error: (fields, text) => logger.error(fields, text),
  };
}
