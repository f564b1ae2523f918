/** What operators order as a whole, in the replicated log: versions of the
 * configuration, and evacuations.
 * @module */

export * from "./errors.ts";
export * from "./configuration_version.ts";
export * from "./evacuations.ts";
export * from "./configuration_store.ts";
export * from "./state_machine.ts";
