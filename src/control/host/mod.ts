/** The control plane of one host. Runs the pure state machines of the
 * neighbouring folders with a clock, a transport and a disk.
 * @module */

export * from "./claim_client.ts";
export * from "./control.ts";
export * from "./errors.ts";
export * from "./table_event.ts";
export type { QuorumStatus, Transport } from "./table_watcher.ts";
