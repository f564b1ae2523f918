/** Quarantine of requests, and of prompt parts, that crash the endpoints which run
 * them: detects them and limits the number of endpoints that they reach.
 * @module */

export * from "./coordinator.ts";
export * as fingerprints from "./fingerprint.ts";
export * from "./guard.ts";
export * from "./identity.ts";
export * from "./suspect.ts";
export * from "./suspect_table.ts";
