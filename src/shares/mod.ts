/** Limits that the whole fleet shares.
 * @module */

export * as allocator from "./allocator.ts";
export * from "./max_min_fairness.ts";
export * as holder from "./holder.ts";
export type { Limit } from "./limit.ts";
export * as meter from "./meter.ts";
