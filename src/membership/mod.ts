/** Membership of the fleet: which hosts are alive, draining, dead or have left,
 * found out by failure detection and gossip. Also the replicated map and gossip
 * queue that other protocols share.
 * @module */

export * from "./digest_map.ts";
export * as antiEntropy from "./anti_entropy.ts";
export * as hash from "./hash.ts";
export { isLive, type Member, type Members } from "./member.ts";
export * from "./membership.ts";
export * as gossipQueue from "./gossip_queue.ts";
export * as rings from "./rings.ts";
export type { Change, Effect, Event, Options } from "./state.ts";
