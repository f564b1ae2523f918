/** Errors of the configuration store.
 * @module */

/** Why a call failed. A command may have taken effect only when the fault is
 * `unknown`. */
export type StoreFault =
  | "no-leader"
  | "unknown"
  | "stopped"
  | "abandoned"
  | "behind";

/** A command or a read was not acknowledged. */
export class StoreError extends Error {
  override readonly name = "StoreError";
  readonly kind: StoreFault;

  constructor(kind: StoreFault, options: { cause?: unknown } = {}) {
    super(MESSAGES[kind], options);
    this.kind = kind;
  }
}

const MESSAGES: Record<StoreFault, string> = {
  "no-leader": "no leader of the log answers",
  unknown: "the order may or may not be in force",
  stopped: "the log does not run on this host",
  abandoned: "nobody waits for the order any more",
  behind: "this host holds an older version than was confirmed",
};
