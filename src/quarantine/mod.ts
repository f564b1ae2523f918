/** Requests that crash the endpoints that run them: how they are told, and how
 * the fleet keeps them from endpoints.
 * @module */

export * as fingerprints from "./fingerprint.ts";
