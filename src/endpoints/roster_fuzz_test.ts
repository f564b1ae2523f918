/** @module */

import test from "ava";
import * as fuzz from "../../bench/roster_fuzz/mod.ts";

const SCHEDULES = 400;

test("hosts that hear the same words in other orders hold the same", (t) => {
  for (let seed = 1; seed <= SCHEDULES; seed++) {
    t.notThrows(() => fuzz.runSchedule({ seed }), `seed ${seed}`);
  }
});

test("a departure that is final for an id is noticed", (t) => {
  const run = () => {
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      fuzz.runSchedule({ seed, breakage: "gone-is-final" });
    }
  };
  t.throws(run, { instanceOf: fuzz.Violation });
});
