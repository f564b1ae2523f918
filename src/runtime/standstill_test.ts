/** @module */

import test from "ava";
import * as standstill from "./standstill.ts";

/** A watch with a clock that moves by hand; `run` passes time in which it looks. */
function startWatch() {
  let now = 0;
  let look = () => {};
  let interval = 0;
  const watch = standstill.StandstillWatch.start({
    now: () => now,
    every(milliseconds, action) {
      interval = milliseconds;
      look = action;
    },
  });
  const run = (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += interval) {
      now += interval;
      look();
    }
  };
  return {
    watch,
    run,
    stand: (milliseconds: number) => void (now += milliseconds),
  };
}

test("a process that runs has not stood still", (t) => {
  const { watch, run, stand } = startWatch();
  run(5000);
  stand(standstill.MIN_STANDSTILL_MS - 300);
  run(1000);
  t.false(watch.hasEndedSince(0));
});

// Guards against a standstill that is noticed only once a timer has run: a connection
// is read before.
test("a standstill is noticed at once and from then on", (t) => {
  const { watch, run, stand } = startWatch();
  run(1000);
  stand(2000);
  t.true(watch.hasEndedSince(3000));
  run(1000);
  t.true(watch.hasEndedSince(3000));
  t.false(watch.hasEndedSince(3001));
});
