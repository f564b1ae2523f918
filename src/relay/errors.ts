/** Errors of connections to endpoints that may lead through other hosts.
 * @module */

/** No connection could be opened on a path. */
export class RelayError extends Error {
  override readonly name = "RelayError";
}
