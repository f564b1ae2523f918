/** Errors of the replicated log.
 * @module */

/** Why the log could not answer. Only `unknown` may have taken effect. */
export type LogFault =
  | "not-leader"
  | "no-quorum"
  | "unknown"
  | "damaged"
  | "storage"
  | "contradiction"
  | "stopped";

/** A proposal, a read or the journal failed. */
export class LogError extends Error {
  override readonly name = "LogError";
  readonly kind: LogFault;
  /** Host that leads now, where it is known. */
  readonly leader?: string;

  constructor(kind: LogFault, message: string, options: LogErrorOptions = {}) {
    super(message, { cause: options.cause });
    this.kind = kind;
    this.leader = options.leader;
  }

  /** The error of a kind, with the usual words. */
  static ofKind(
    kind: LogFault,
    leader?: string,
    options: { cause?: unknown } = {},
  ): LogError {
    return new LogError(kind, REFUSALS[kind], { leader, ...options });
  }
}

/** What else is known of a failure. */
export interface LogErrorOptions {
  leader?: string;
  cause?: unknown;
}

const REFUSALS: Record<LogFault, string> = {
  "not-leader": "another host leads the log",
  "no-quorum": "no majority of the log answers",
  unknown: "leadership was lost before the command was seen committed",
  damaged: "the journal is damaged",
  storage: "the journal cannot be written",
  contradiction: "what this replica holds contradicts the log",
  stopped: "the log has stopped on this host",
};
