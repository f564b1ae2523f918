/** @module */

import test from "ava";
import * as refusals from "./refusal.ts";

test("who comes right after a start of all is told when a leader is elected", (t) => {
  t.is(refusals.retryAfterUnconfigured(0), 1.2);
  t.is(refusals.retryAfterUnconfigured(700), 0.5);
});

test("who comes later is told to come back soon", (t) => {
  t.is(refusals.retryAfterUnconfigured(1100), 0.3);
  t.is(refusals.retryAfterUnconfigured(60_000), 0.3);
});
