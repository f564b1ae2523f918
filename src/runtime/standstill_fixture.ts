/** Standstills of the process of a test.
 * @module */

import * as standstill from "./standstill.ts";

/** Milliseconds for which the process stands still unless told otherwise: longer than
 * a process that runs does. */
export const STANDSTILL_MS = standstill.MIN_STANDSTILL_MS + 200;

/** Stands still. */
export function standStill(milliseconds = STANDSTILL_MS): void {
  const flag = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(flag, 0, 0, milliseconds);
}
