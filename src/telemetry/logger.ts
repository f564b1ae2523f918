/** Log lines as JSON by `pino`: one line for a change of state, none for a
 * request. What happens often is a counter.
 * @module */

import * as pino from "pino";

/** Writes log lines; `fields` come first, then one plain sentence. */
export interface Logger {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Least important lines that are written. */
export type Level = "debug" | "info" | "warn" | "error" | "silent";

/** Takes finished lines. */
export interface Destination {
  write(line: string): void;
}

/** Writes nothing. */
export const noLogger: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};

const SECRET_KEYS = [
  "token",
  "tokenHash",
  "secret",
  "authorization",
  "Authorization",
  "cookie",
];

const REDACTED_PATHS = SECRET_KEYS.flatMap((key) => [
  key,
  `*.${key}`,
  `*.*.${key}`,
]);

/** Options of a logger. */
export interface Options {
  host: string;
  /** `info` when absent. */
  level?: Level;
  /** Standard output when absent. */
  destination?: Destination;
}

/** Creates a logger whose lines name the host and hide secrets. */
export function createLogger(options: Options): Logger {
  const { host, level = "info", destination } = options;
  return pino.pino({
    level,
    base: { host },
    timestamp: pino.pino.stdTimeFunctions.isoTime,
    formatters: { level: (label) => ({ level: label }) },
    redact: { paths: REDACTED_PATHS, censor: "[redacted]" },
  }, destination ?? pino.pino.destination({ dest: 1, sync: false }));
}
