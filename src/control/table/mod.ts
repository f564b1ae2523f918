/** The operators' table, and the state machine of the replicated log that
 * contains it.
 * @module */

export * from "./state_machine.ts";
export * from "./table.ts";
export * as columns from "./column.ts";
export { CommandClock } from "./command_clock.ts";
export { NaiveTable } from "./naive_table.ts";
export { ExpiryIndex, type SweepResult } from "./expiry_index.ts";
export { hashOf, Trie } from "./trie.ts";
export * as operations from "./operations.ts";
