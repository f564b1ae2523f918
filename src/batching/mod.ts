/** Batched computation of items: the parallel units of work of a route's
 * stages, which have to complete before the request itself can run.
 * @module */

export * from "./batcher.ts";
export type {
  BatcherDependencies,
  ReservationEstimate,
} from "./partition_batcher.ts";
export * as partitions from "./partitions.ts";
export * as forecast from "./forecast.ts";
export * from "./batcher_client.ts";
export * from "./plan.ts";
export { MIN_TRANSFER_BYTES } from "./delay_scheduling.ts";
export { Scheduler } from "./scheduler.ts";
export type { Task, Worker } from "./task.ts";
