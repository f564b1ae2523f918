/** @module */

import test from "ava";
import * as workers from "./workers.ts";

const SEEDS = [1, 2, 3];

/** Part of all seeds' items that were completed in time. */
function onTimeRatio(
  options: Pick<workers.RunOptions, "isOn" | "isFluctuating">,
): number {
  const runs = SEEDS.map((seed) =>
    workers.run({ ...options, isUnequal: true, seed, duration: 60_000 })
  );
  const submitted = runs.reduce((sum, run) => sum + run.submitted, 0);
  return runs.reduce((sum, run) => sum + run.onTime, 0) / submitted;
}

// Workers of speeds 0.6, 1 and 1.6 at 0.75 of their capacity; each is 2.5 times
// slower for a quarter of the time and announces it. Items are due after about
// two calls. Guards against announced figures that are not used.
test("more items of workers that announce their slowness are in time", (t) => {
  const off = onTimeRatio({ isOn: false, isFluctuating: true });
  const on = onTimeRatio({ isOn: true, isFluctuating: true });
  t.log({ off, on });
  t.true(on > off + 0.005, `${off} without the part, ${on} with it`);
});

// Steady workers are known from a batcher's own calls as well, and the prior of
// the shared estimate draws it towards 1: without the prior as many are in time.
// Guards against a higher loss.
test("about as many items of steady workers are in time with the part", (t) => {
  const off = onTimeRatio({ isOn: false, isFluctuating: false });
  const on = onTimeRatio({ isOn: true, isFluctuating: false });
  t.log({ off, on });
  t.true(on > off - 0.01, `${off} without the part, ${on} with it`);
});

test("items at equal workers are assigned the same with the part on and off", (t) => {
  for (const seed of SEEDS) {
    const [off, on] = [false, true].map((isOn) =>
      workers.run({
        isOn,
        isUnequal: false,
        isFluctuating: false,
        seed,
        duration: 30_000,
      })
    );
    t.true(off.called.length > 1000);
    t.deepEqual(on, off);
  }
});
