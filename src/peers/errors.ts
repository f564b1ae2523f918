/** Errors of the transport between hosts.
 * @module */

/** The transport could not start. */
export class PeerError extends Error {
  override readonly name = "PeerError";
}
