/** Fleet-wide limits: an allocator leases shares of them to the hosts.
 * @module */

export * as allocator from "./allocator.ts";
export * from "./max_min_fairness.ts";
export * as holder from "./holder.ts";
export type { Limit } from "./limit.ts";
export * as meter from "./meter.ts";
