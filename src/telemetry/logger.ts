/** JSON log lines written by `pino`. State changes are logged; frequent events
 * such as single requests are counted in metrics instead.
 * @module */

import * as pino from "pino";

/** Writes log lines with structured fields and a message. */
export interface Logger {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Minimum level of lines that are written. */
export type Level = "debug" | "info" | "warn" | "error" | "silent";

/** Receives formatted lines. */
export interface Destination {
  write(line: string): void;
}

/** A logger that discards all lines. */
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

/** Paths of secrets at the top level and up to two levels below it. */
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

/** Creates a logger that adds the host's id to each line and redacts secrets. */
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
