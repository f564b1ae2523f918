/** Errors of the transport between hosts.
 * @module */

/** The transport could not start, or a request to another host failed. */
export class PeerError extends Error {
  override readonly name = "PeerError";
}
