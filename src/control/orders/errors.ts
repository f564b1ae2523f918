/** Errors of calls to engines.
 * @module */

/** A call to an engine failed or was aborted before it was sent. */
export class OrderError extends Error {
  override readonly name = "OrderError";
}
