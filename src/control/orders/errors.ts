/** Errors of orders to engines.
 * @module */

/** A call to an engine failed, or was given up before it was sent. */
export class OrderError extends Error {
  override readonly name = "OrderError";
}
