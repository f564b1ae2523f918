/** Errors of the replicated log.
 * @module */

/** Reason of a failure. Only after `unknown` may a proposed command have taken
 * effect. */
export type LogFault =
  | "not-leader"
  | "no-quorum"
  | "unknown"
  | "damaged"
  | "storage"
  | "contradiction"
  | "stopped";

/** Failure of a proposal, a read or the journal. */
export class LogError extends Error {
  override readonly name = "LogError";
  readonly kind: LogFault;
  /** Host of the current leader, if known. */
  readonly leader?: string;

  constructor(kind: LogFault, message: string, options: LogErrorOptions = {}) {
    super(message, { cause: options.cause });
    this.kind = kind;
    this.leader = options.leader;
  }

  /** Creates an error with the default message of its kind. */
  static ofKind(
    kind: LogFault,
    leader?: string,
    options: { cause?: unknown } = {},
  ): LogError {
    return new LogError(kind, REFUSALS[kind], { leader, ...options });
  }
}

/** Details of a failure. */
export interface LogErrorOptions {
  leader?: string;
  cause?: unknown;
}

const REFUSALS: Record<LogFault, string> = {
  "not-leader": "this host is not the leader of the log",
  "no-quorum": "no majority of the log's voters answers",
  unknown: "leadership was lost before the command was known to be committed",
  damaged: "the journal is corrupt",
  storage: "the journal could not be written",
  contradiction: "the state of this replica is inconsistent with the log",
  stopped: "the replica on this host has stopped",
};
