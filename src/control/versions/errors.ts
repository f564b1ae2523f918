/** Errors of the store of versions.
 * @module */

/** Why there is no answer. Only `unknown` may have taken effect. */
export type StoreFault = "no-leader" | "unknown" | "stopped" | "abandoned";

/** An order or a read of the configuration was not answered. */
export class StoreError extends Error {
  override readonly name = "VersionError";
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
};
