/** Errors of control as the rest of a host sees them.
 * @module */

import type * as watch from "../watch/mod.ts";

/** A command has no answer; only `unknown` may have taken effect. */
export class ControlError extends Error {
  override readonly name = "ControlError";
  readonly failure: watch.Failure;

  constructor(failure: watch.Failure, detail: string) {
    super(detail);
    this.failure = failure;
  }
}
