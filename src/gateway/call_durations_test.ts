/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as callDurations from "./call_durations.ts";

const SAFE = fixture.route({ kind: "safe", objective: 100 });
const UNSAFE = fixture.route({ name: "unsafe", kind: "unsafe" });

test("a call is expected to take its route's objective before one has ended", (t) => {
  t.is(callDurations.CallDurations.create().expected(SAFE), 100);
});

test("a call that can't be repeated is given more time than another one", (t) => {
  const durations = callDurations.CallDurations.create();
  for (const route of [SAFE, UNSAFE]) durations.record(route, 200);
  t.is(durations.expected(SAFE), 300);
  t.is(durations.expected(UNSAFE), 600);
});

test("calls that take the same time are expected to take little more", (t) => {
  const durations = callDurations.CallDurations.create();
  for (let count = 0; count < 50; count++) durations.record(UNSAFE, 200);
  t.true(durations.expected(UNSAFE) < 201);
});

test("the expected time follows calls that take longer", (t) => {
  const durations = callDurations.CallDurations.create();
  durations.record(SAFE, 200);
  for (let count = 0; count < 20; count++) durations.record(SAFE, 2000);
  t.true(durations.expected(SAFE) > 1800);
});
