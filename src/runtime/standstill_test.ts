/** @module */

import test from "ava";
import * as standstill from "./standstill.ts";

/** A watch with a clock that moves by hand; `run` passes time in which it looks. */
function startWatch(
  bounds: Pick<standstill.StandstillOptions, "minimum" | "interval"> = {},
) {
  let now = 0;
  let look = () => {};
  let interval = 0;
  const watch = standstill.StandstillWatch.start({
    ...bounds,
    now: () => now,
    every(milliseconds, action) {
      interval = milliseconds;
      look = action;
      return () => look = () => {};
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

test("the begin of a standstill is the last look before", (t) => {
  const { watch, run, stand } = startWatch({ minimum: 150, interval: 50 });
  run(1000);
  stand(200);
  run(100);
  t.is(watch.beginOfEnded({ since: 1200 }), 1000);
  t.is(watch.beginOfEnded({ since: 1251 }), undefined);
});

// Guards against an end that came during the first of two standstills and is taken
// for one of the time between them.
test("standstills in quick succession count as one", (t) => {
  const { watch, run, stand } = startWatch({ minimum: 150, interval: 50 });
  run(1000);
  stand(200);
  run(400);
  stand(200);
  run(50);
  t.is(watch.beginOfEnded({ since: 1800 }), 1000);
  run(standstill.BACKLOG_MS + 50);
  stand(200);
  t.true(watch.beginOfEnded({ since: 2400 })! > 2300);
});

test("a watch that was stopped looks no more", (t) => {
  const { watch, run } = startWatch();
  watch.stop();
  run(5000);
  t.true(watch.hasEndedSince(5000));
});
