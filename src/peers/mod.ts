/** The transport between the system's hosts.
 * @module */

export { PeerError } from "./errors.ts";
export * from "./peers.ts";
