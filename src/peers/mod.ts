/** Transport between the hosts of the fleet, and request-reply calls over it.
 * @module */

export * from "./ask_in_turn.ts";
export * from "./rpc.ts";
export { draw as drawIncarnation, type Incarnation } from "./incarnation.ts";
export { PeerError } from "./errors.ts";
export * from "./unresponsive_hosts.ts";
export * from "./peers.ts";
export { TUNNEL_END_PATH, TUNNEL_HEADER } from "./listener.ts";
export type { TunnelRequest, Tunnels } from "./listener.ts";
