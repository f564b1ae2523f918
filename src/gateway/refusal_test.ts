/** @module */

import test from "ava";
import * as refusals from "./refusal.ts";

test("the retry delay just after a start covers the election of a leader", (t) => {
  t.is(refusals.retryAfterUnconfigured(0), 1.2);
  t.is(refusals.retryAfterUnconfigured(700), 0.5);
});

test("the retry delay has a minimum when a configuration is overdue", (t) => {
  t.is(refusals.retryAfterUnconfigured(1100), 0.3);
  t.is(refusals.retryAfterUnconfigured(60_000), 0.3);
});
