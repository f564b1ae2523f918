/** @module */

import * as timers from "node:timers/promises";
import test from "ava";
import * as turnClocks from "./turn_clock.ts";

const TIMER_MS = 200;

function stayBusy(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

/** Resolves once a timer of a clock has fired. */
async function waitFor(
  clock: turnClocks.TurnClock,
  delay: number,
): Promise<void> {
  let isOver = false;
  clock.after(delay, () => isOver = true);
  // A promise of the clock alone keeps no process alive.
  while (!isOver) await timers.setTimeout(1);
}

// Guards against timeouts in tests that a busy machine makes come true.
test("a clock of turns does not pass while the event loop is busy", (t) => {
  const clock = turnClocks.TurnClock.start();
  const start = clock.now();
  stayBusy(TIMER_MS);
  t.is(clock.now(), start);
});

test("a timer that is due while the event loop is busy waits for its turns", async (t) => {
  const clock = turnClocks.TurnClock.start();
  let hasFired = false;
  clock.after(TIMER_MS, () => hasFired = true);
  stayBusy(2 * TIMER_MS);
  await timers.setTimeout(1);
  await timers.setImmediate();
  t.false(hasFired);
  await waitFor(clock, TIMER_MS);
  t.true(hasFired);
});

test("a clock of turns is never ahead of the system's", async (t) => {
  const systemStart = performance.now();
  const clock = turnClocks.TurnClock.start();
  const start = clock.now();
  await waitFor(clock, TIMER_MS);
  const passed = clock.now() - start;
  t.true(passed >= TIMER_MS, `${passed} ms`);
  t.true(passed <= performance.now() - systemStart, `${passed} ms`);
});
