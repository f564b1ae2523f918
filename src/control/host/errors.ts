/** Errors that the control plane reports to the rest of the host.
 * @module */

import type * as watch from "../watch/mod.ts";

/** A command got no reply; it may have taken effect only if the failure is
 * `unknown`. */
export class ControlError extends Error {
  override readonly name = "ControlError";
  readonly failure: watch.Failure;

  constructor(failure: watch.Failure, detail: string) {
    super(detail);
    this.failure = failure;
  }
}
