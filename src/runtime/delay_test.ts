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

test("a wait for a condition ends when it holds, or at its timeout", async (t) => {
  const clock = new fakeClocks.FakeClock();
  let isHeld = false;
  const ended: string[] = [];
  const wait = async (name: string, holds: () => boolean) => {
    await delays.until(clock, holds, { timeout: 200 });
    ended.push(name);
  };
  const both = [wait("held", () => isHeld), wait("never", () => false)];
  const takeTurns = async () => {
    for (let turn = 0; turn < 3; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      await takeTurns();
      clock.advance(50);
    }
    await takeTurns();
  };
  await pass(100);
  t.deepEqual(ended, []);
  isHeld = true;
  await pass(50);
  t.deepEqual(ended, ["held"]);
  await pass(200);
  await Promise.all(both);
  t.deepEqual(ended, ["held", "never"]);
});
