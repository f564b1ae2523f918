/** Versions of the whole configuration in the replicated log.
 * @module */

export * from "./errors.ts";
export * from "./keeper.ts";
export * from "./machine.ts";
