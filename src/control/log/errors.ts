/** Errors of the replicated log.
 * @module */

/** Why the log could not answer. Only `unknown` may have taken effect. */
export type LogFault =
  | "not-leader"
  | "no-quorum"
  | "unknown"
  | "damaged"
  | "storage"
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
}

/** What else is known of a failure. */
export interface LogErrorOptions {
  leader?: string;
  cause?: unknown;
}
