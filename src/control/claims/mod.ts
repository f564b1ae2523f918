/** Claims on idempotency keys, as part of the replicated state.
 * @module */

export * from "./claims.ts";
