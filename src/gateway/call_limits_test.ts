/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as callTerms from "./call_limits.ts";

test("who is late goes behind all ranks that can be in time", (t) => {
  t.true(callTerms.urgencyOf(0, true) > callTerms.urgencyOf(2, false));
  t.is(callTerms.urgencyOf(50, true), 9);
});

test("work that must not be repeated is waited for", (t) => {
  const unsafe = fixture.route({ kind: "unsafe" });
  t.is(callTerms.idleTimeoutOf(unsafe, false), Infinity);
  t.true(callTerms.idleTimeoutOf(fixture.route(), false) < Infinity);
});

test("a call is never given less than some milliseconds", (t) => {
  t.is(callTerms.remainingTime(100.9, 50), 50);
  t.true(callTerms.remainingTime(100, 200) > 0);
});
