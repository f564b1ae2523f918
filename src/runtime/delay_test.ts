/** @module */

import test from "ava";
import * as delays from "./delay.ts";
import * as fakeClocks from "./fake_clock.ts";

test("a pause ends when its time has passed", async (t) => {
  const clock = new fakeClocks.FakeClock();
  let isOver = false;
  const pause = delays.sleep(clock, 100).then(() => isOver = true);
  clock.advance(99);
  await Promise.resolve();
  t.false(isOver);
  clock.advance(1);
  await pause;
  t.true(isOver);
});
