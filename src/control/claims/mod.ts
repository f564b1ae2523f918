/** Claims on idempotency keys.
 * @module */

export * from "./claims.ts";
