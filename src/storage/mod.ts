/** Synced files under one data folder, and a fake that loses what was not
 * synced.
 * @module */

export * from "./error.ts";
export * from "./file_storage.ts";
export * from "./memory_storage.ts";
