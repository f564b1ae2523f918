/** Control as one host has it: shells of the cores in the folders beside.
 * @module */

export * from "./claim_client.ts";
export * from "./control.ts";
export * from "./errors.ts";
export * from "./table_event.ts";
export type { QuorumStatus, Transport } from "./table_watcher.ts";
