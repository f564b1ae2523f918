/** @module */

import test from "ava";
import type * as runtime from "../runtime/mod.ts";
import * as freshness from "./elapsed_time.ts";

/** A clock that stands at two readings. */
function clockAt(now: number, wall: number): runtime.Clock {
  return { now: () => now, wall: () => wall, after: () => () => {} };
}

const MOMENT = { now: 1000, wall: 50_000 };

test("age is time on the steady clock", (t) => {
  t.is(freshness.elapsedSince(MOMENT, clockAt(1300, 50_300)), 300);
});

test("a suspension that the steady clock does not count is counted", (t) => {
  t.is(freshness.elapsedSince(MOMENT, clockAt(1001, 57_000)), 7000);
});

test("a wall clock that is set back makes nothing younger", (t) => {
  t.is(freshness.elapsedSince(MOMENT, clockAt(4000, 20_000)), 3000);
});
