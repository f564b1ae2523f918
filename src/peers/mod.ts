/** The transport between the system's hosts.
 * @module */

export * from "./rpc.ts";
export { PeerError } from "./errors.ts";
export * from "./unresponsive_hosts.ts";
export * from "./peers.ts";
export * from "./unresponsive_hosts.ts";
