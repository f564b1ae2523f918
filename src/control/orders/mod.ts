/** Orders to engines: the table's wishes carried out by the leaseholder.
 * @module */

export { EngineClient, type EngineClientOptions } from "./engine_client.ts";
export { OrderError } from "./errors.ts";
export type * from "./reconciler_event.ts";
export * from "./reconciler_state.ts";
export * from "./plan.ts";
export * from "./reconciler.ts";
