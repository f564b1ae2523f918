/** Errors of a node.
 * @module */

/** Thrown when a node cannot start or continue. */
export class NodeError extends Error {
  override readonly name = "NodeError";
}
