/** Orders to engines: the table's wishes carried out by the leaseholder.
 * @module */

export { Caller, type CallerOptions } from "./caller.ts";
export { OrderError } from "./errors.ts";
export type * from "./event.ts";
export * from "./orders.ts";
export * from "./plan.ts";
export * from "./reconciler.ts";
