/** Durable files in a data folder, and an in-memory implementation that loses
 * unsynced writes on a simulated crash.
 * @module */

export * from "./errors.ts";
export * from "./file_storage.ts";
export * from "./memory_storage.ts";
