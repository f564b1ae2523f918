/** Error of the dispatcher.
 * @module */

/** An event or a policy decision that contradicts the dispatcher's state. */
export class DispatchError extends Error {
  override readonly name = "DispatchError";
}
