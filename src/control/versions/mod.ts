/** Versions of the whole configuration in the replicated log.
 * @module */

export * from "./errors.ts";
export * from "./configuration_store.ts";
export * from "./machine.ts";
