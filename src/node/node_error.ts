/** Errors of a node as a whole.
 * @module */

/** A node cannot start or go on. */
export class NodeError extends Error {
  override readonly name = "NodeError";
}
