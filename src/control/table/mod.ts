/** The operators' table and the machine that the replicated log drives.
 * @module */

export * from "./machine.ts";
export * from "./table.ts";
export * as columns from "./column.ts";
export { Timekeeper } from "./timekeeper.ts";
export { NaiveTable } from "./naive.ts";
export { Expiry, type Sweep } from "./expiry.ts";
export { hashOf, Trie } from "./trie.ts";
export * as operations from "./operations.ts";
