/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as coalescing from "./coalescer.ts";

/** Rounds whose answers are their numbers, and a way to let time pass. */
function roundsOf({ fails = false } = {}) {
  const clock = new runtime.FakeClock();
  let asked = 0;
  const shared = coalescing.Coalescer.create({
    clock,
    minInterval: 100,
    fetch: () => fails ? Promise.reject(new Error("no")) : tell(++asked),
  });
  const tell = (number: number) => Promise.resolve(number);
  const pass = async (ms: number) => {
    clock.advance(ms);
    await new Promise(setImmediate);
  };
  return { shared, pass, asked: () => asked };
}

test("who asks at the same time shares a round", async (t) => {
  const { shared, pass, asked } = roundsOf();
  const answers = Promise.all([shared.join(), shared.join()]);
  await pass(0);
  t.deepEqual(await answers, [1, 1]);
  t.is(asked(), 1);
});

test("who asks after a round has begun gets the next, at a distance", async (t) => {
  const { shared, pass, asked } = roundsOf();
  const first = shared.join();
  await pass(0);
  t.is(await first, 1);
  const second = shared.join();
  await pass(99);
  t.is(asked(), 1);
  await pass(1);
  t.is(await second, 2);
});

test("a round that fails does so for all, and the next begins anew", async (t) => {
  const { shared, pass } = roundsOf({ fails: true });
  const answers = Promise.allSettled([shared.join(), shared.join()]);
  await pass(0);
  t.deepEqual((await answers).map(({ status }) => status), [
    "rejected",
    "rejected",
  ]);
  const again = t.throwsAsync(shared.join());
  await pass(100);
  await again;
});
