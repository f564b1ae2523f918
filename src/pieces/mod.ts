/** Pieces that must be made before a request can run.
 * @module */

export * from "./batcher.ts";
export type { Turn } from "./cell_batcher.ts";
export * as cells from "./cells.ts";
export * as forecast from "./forecast.ts";
export * from "./maker.ts";
export * from "./plan.ts";
export { Scheduler } from "./scheduler.ts";
export type { Work, Worker } from "./work.ts";
