/** Fair shares of client accounts in services under contention.
 * @module */

export * from "./account_shares.ts";
export * from "./admission.ts";
export * from "./coordinator.ts";
