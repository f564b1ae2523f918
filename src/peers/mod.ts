/** The transport between the system's hosts.
 * @module */

export * from "./calls.ts";
export { PeerError } from "./errors.ts";
export * from "./left_out.ts";
export * from "./peers.ts";
export * from "./left_out.ts";
