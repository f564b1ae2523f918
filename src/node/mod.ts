/** Assembles a host from its settings.
 * @module */

export { Node } from "./node.ts";
export { NodeError } from "./node_error.ts";
export type { Options } from "./options.ts";
export { VERSION } from "./version.ts";
