/** Queues, weights, limits, early refusal, stage time estimates and cost.
 *
 * Pure decisions in virtual time: nothing here reads a clock. The containers
 * are changed in place, since they stand on the hot path of every request.
 * @module */

export * as backlog from "./backlog.ts";
export * as controls from "./controls.ts";
export * as cost from "./cost.ts";
export * as estimate from "./estimate.ts";
export * as fairQueue from "./fair_queue.ts";
export * as gate from "./gate.ts";
export * as lane from "./lane.ts";
export * as limit from "./limit.ts";
export * as schedule from "./schedule.ts";
export * as split from "./split.ts";
export * as weight from "./weight.ts";
