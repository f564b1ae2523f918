/** A fleet that is discovered through seed hosts: control hosts store the
 * configuration and receive endpoint heartbeats, entry hosts serve clients.
 * @module */

export * from "./host_context.ts";
export * from "./control_protocol.ts";
export * from "./errors.ts";
export type * from "./settings.ts";
