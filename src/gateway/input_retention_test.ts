/** @module */

import test from "ava";
import * as inputHolds from "./input_retention.ts";

test("results are kept for less time while no call lacks any", (t) => {
  const hold = inputHolds.InputRetention.create();
  const first = hold.time("engines");
  for (let call = 0; call < 1000; call++) hold.recordSuccess("engines");
  t.is(hold.time("engines"), 60);
  t.is(hold.time("others"), first);
});

test("an engine that lacks a result has the next kept for longer", (t) => {
  const hold = inputHolds.InputRetention.create();
  hold.recordMissing("engines", 150);
  t.is(hold.time("engines"), 300);
  for (let call = 0; call < 50; call++) hold.recordSuccess("engines");
  t.true(hold.time("engines") > 200);
});

test("calls that lacked a result together count once", (t) => {
  const hold = inputHolds.InputRetention.create();
  for (let call = 0; call < 5; call++) hold.recordMissing("engines", 150);
  t.is(hold.time("engines"), 300);
});
