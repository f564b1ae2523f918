/** Replicated store of fleet-wide operator commands: versions of the
 * configuration, and evacuations of data centres.
 * @module */

export * from "./errors.ts";
export * from "./configuration_version.ts";
export * from "./evacuations.ts";
export * from "./configuration_store.ts";
export * from "./state_machine.ts";
