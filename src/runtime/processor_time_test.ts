/** @module */

import test from "ava";
import * as processorTimes from "./processor_time.ts";

/** Works until the process has run for a time; returns how long that took. */
function work(milliseconds: number): number {
  const start = processorTimes.processorTime();
  const startedAt = performance.now();
  while (processorTimes.processorTime() < start + milliseconds);
  return performance.now() - startedAt;
}

// Guards against a time in another unit: turns that work would count as pauses, or
// the reverse. Other threads of the process may run beside, no more than 128.
test("processor time passes in milliseconds as the process runs", (t) => {
  t.true(work(256) >= 2);
});
