/** Standstills of the process of a test.
 * @module */

import * as standstill from "./standstill.ts";

/** Milliseconds for which the process stands still. */
const STANDSTILL_MS = standstill.MIN_STANDSTILL_MS + 200;

/** Stands still for longer than a process that runs does. */
export function standStill(): void {
  const flag = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(flag, 0, 0, STANDSTILL_MS);
}
