/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as coalescers from "./coalescer.ts";

/** Creates a coalescer whose fetches return their number, or all fail. */
function createCoalescer({ fails = false } = {}) {
  const clock = new runtime.FakeClock();
  let fetchCount = 0;
  const coalescer = coalescers.Coalescer.create({
    clock,
    minInterval: 100,
    fetch: () =>
      fails ? Promise.reject(new Error("no")) : resolveWith(++fetchCount),
  });
  const resolveWith = (number: number) => Promise.resolve(number);
  const pass = async (ms: number) => {
    clock.advance(ms);
    await new Promise(setImmediate);
  };
  return { coalescer, pass, fetchCount: () => fetchCount };
}

test("concurrent calls share one fetch", async (t) => {
  const { coalescer, pass, fetchCount } = createCoalescer();
  const answers = Promise.all([coalescer.join(), coalescer.join()]);
  await pass(0);
  t.deepEqual(await answers, [1, 1]);
  t.is(fetchCount(), 1);
});

test("a call after a fetch has started waits for the next, at the minimum interval", async (t) => {
  const { coalescer, pass, fetchCount } = createCoalescer();
  const first = coalescer.join();
  await pass(0);
  t.is(await first, 1);
  const second = coalescer.join();
  await pass(99);
  t.is(fetchCount(), 1);
  await pass(1);
  t.is(await second, 2);
});

test("a failed fetch rejects for all callers, and the next call fetches again", async (t) => {
  const { coalescer, pass } = createCoalescer({ fails: true });
  const answers = Promise.allSettled([coalescer.join(), coalescer.join()]);
  await pass(0);
  t.deepEqual((await answers).map(({ status }) => status), [
    "rejected",
    "rejected",
  ]);
  const again = t.throwsAsync(coalescer.join());
  await pass(100);
  await again;
});
