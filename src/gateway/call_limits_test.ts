/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as callLimits from "./call_limits.ts";

test("late requests are less urgent than all ranks that can meet their objective", (t) => {
  t.true(callLimits.urgencyOf(0, true) > callLimits.urgencyOf(2, false));
  t.is(callLimits.urgencyOf(50, true), 9);
});

test("calls that are not idempotent have no idle timeout", (t) => {
  const unsafe = fixture.route({ kind: "unsafe" });
  t.is(callLimits.idleTimeoutOf(unsafe, false), Infinity);
  t.true(callLimits.idleTimeoutOf(fixture.route(), false) < Infinity);
});

test("a call always has some milliseconds left", (t) => {
  t.is(callLimits.remainingTime(100.9, 50), 50);
  t.true(callLimits.remainingTime(100, 200) > 0);
});
