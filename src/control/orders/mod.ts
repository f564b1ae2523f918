/** Reconciliation of the engines with the table: the lease holder orders them to
 * load and unload models and to change roles.
 * @module */

export { EngineClient, type EngineClientOptions } from "./engine_client.ts";
export { OrderError } from "./errors.ts";
export type * from "./reconciler_event.ts";
export * from "./reconciler_state.ts";
export * from "./plan.ts";
export * from "./reconciler.ts";
