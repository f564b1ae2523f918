/** Errors of batching.
 * @module */

/** A host's reply does not contain the results that it was asked for. */
export class BatchingError extends Error {
  override readonly name = "BatchingError";
}
