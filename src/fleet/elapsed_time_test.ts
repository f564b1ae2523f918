/** @module */

import test from "ava";
import type * as runtime from "../runtime/mod.ts";
import * as elapsedTime from "./elapsed_time.ts";

/** Creates a clock with fixed readings. */
function clockAt(now: number, wall: number): runtime.Clock {
  return { now: () => now, wall: () => wall, after: () => () => {} };
}

const START = { now: 1000, wall: 50_000 };

test("elapsed time follows the monotonic clock", (t) => {
  t.is(elapsedTime.elapsedSince(START, clockAt(1300, 50_300)), 300);
});

test("a suspension that stops the monotonic clock is counted", (t) => {
  t.is(elapsedTime.elapsedSince(START, clockAt(1001, 57_000)), 7000);
});

test("setting the wall clock back does not shorten elapsed time", (t) => {
  t.is(elapsedTime.elapsedSince(START, clockAt(4000, 20_000)), 3000);
});
