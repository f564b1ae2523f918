/** Discovery of endpoints. `Registry` is a gossiped registry of endpoints that
 * announce themselves and hold leases; `Roster` merges endpoint heartbeats.
 * @module */

export type { Entry, ServingEntry } from "./entry.ts";
export * from "./lease_holder.ts";
export * as incarnations from "./incarnation.ts";
export * from "./registry.ts";
export * from "./roster.ts";
export type { Change, Effect, Event, Options, Refusal } from "./state.ts";
