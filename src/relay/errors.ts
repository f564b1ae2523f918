/** Errors of connections to endpoints that may lead through other hosts.
 * @module */

/** No connection could be opened on a path. */
export class RelayError extends Error {
  override readonly name: string = "RelayError";
}

/** A host that relays has not reached the endpoint either. */
export class EndpointUnreachableError extends RelayError {
  override readonly name = "EndpointUnreachableError";
}
