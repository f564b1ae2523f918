/** @module */

import test from "ava";
import * as fuzz from "../../bench/roster_fuzz/mod.ts";

const SCHEDULES = 400;

test("hosts that receive the same reports in different orders have equal rosters", (t) => {
  for (let seed = 1; seed <= SCHEDULES; seed++) {
    t.notThrows(() => fuzz.runSchedule({ seed }), `seed ${seed}`);
  }
});

test("the fuzzer detects a leave that is final for all incarnations", (t) => {
  const run = () => {
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      fuzz.runSchedule({ seed, breakage: "gone-is-final" });
    }
  };
  t.throws(run, { instanceOf: fuzz.Violation });
});
