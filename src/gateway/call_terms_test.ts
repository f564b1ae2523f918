/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as callTerms from "./call_terms.ts";

test("who is late goes behind all ranks that can be in time", (t) => {
  t.true(callTerms.urgencyOf(0, true) > callTerms.urgencyOf(2, false));
  t.is(callTerms.urgencyOf(50, true), 9);
});

test("work that must not be repeated is waited for", (t) => {
  const unsafe = fixture.route({ kind: "unsafe" });
  t.is(callTerms.silenceOf(unsafe, false), Infinity);
  t.true(callTerms.silenceOf(fixture.route(), false) < Infinity);
});

test("a call is never given less than some milliseconds", (t) => {
  t.is(callTerms.remaining(100.9, 50), 50);
  t.true(callTerms.remaining(100, 200) > 0);
});
