/** What must survive every host: the table and the claims, in a replicated
 * log, and how hosts follow and change it.
 * @module */

export * from "./host/mod.ts";
export * as claims from "./claims/mod.ts";
export * as log from "./log/mod.ts";
export * as table from "./table/mod.ts";
export * as watch from "./watch/mod.ts";
