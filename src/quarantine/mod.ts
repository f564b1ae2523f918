/** Requests that crash the endpoints that run them: how they are told, and how
 * the fleet keeps them from endpoints.
 * @module */

export * from "./coordinator.ts";
export * as fingerprints from "./fingerprint.ts";
export * from "./guard.ts";
export * from "./suspect.ts";
export * from "./suspect_table.ts";
