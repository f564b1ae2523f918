/** Hosts that find each other by seeds: those with disks keep the
 * configuration and hear endpoints, the others take requests.
 * @module */

export * from "./host_context.ts";
export * from "./control_protocol.ts";
export * from "./errors.ts";
export type * from "./settings.ts";
