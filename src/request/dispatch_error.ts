/** Error of the dispatcher's layer.
 * @module */

/** An event, or a decision of a policy, that can't be. */
export class DispatchError extends Error {
  override readonly name = "DispatchError";
}
