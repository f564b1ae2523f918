/** Control as one host has it: shells of the cores in the folders beside.
 * @module */

export * from "./claim_keeper.ts";
export * from "./control.ts";
export * from "./errors.ts";
export * from "./table_event.ts";
export type { Status, Transport } from "./follower.ts";
