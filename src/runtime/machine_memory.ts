/** Memory of the machine that this process runs on.
 * @module */

import * as os from "node:os";

/** Part of the machine's memory that a process takes to be its own if nothing
 * states its limit: other programs run beside it. */
const PROCESS_SHARE = 1 / 4;
/** Most of it, in bytes: what a host holds at a time doesn't grow with the memory
 * of its machine. */
const MAX_PROCESS_BYTES = 1e9;

/** Bytes that a process of a machine with `total` bytes takes to be its own; 0
 * or more than the machine has stands for no `constraint`. */
export function processShare(total: number, constraint = 0): number {
  const available = constraint > 0 ? Math.min(constraint, total) : total;
  return Math.min(MAX_PROCESS_BYTES, PROCESS_SHARE * available);
}

/** Bytes that this process takes to be its own if its settings state no limit. */
export function assumedMemory(): number {
  return processShare(os.totalmem(), process.constrainedMemory());
}
