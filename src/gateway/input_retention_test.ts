/** @module */

import test from "ava";
import * as inputRetentions from "./input_retention.ts";

test("the retention time falls while no call misses an input", (t) => {
  const retention = inputRetentions.InputRetention.create();
  const first = retention.time("engines");
  for (let call = 0; call < 1000; call++) retention.recordSuccess("engines");
  t.is(retention.time("engines"), 60);
  t.is(retention.time("others"), first);
});

test("the retention time rises after a call misses an input", (t) => {
  const retention = inputRetentions.InputRetention.create();
  retention.recordMissing("engines", 150);
  t.is(retention.time("engines"), 300);
  for (let call = 0; call < 50; call++) retention.recordSuccess("engines");
  t.true(retention.time("engines") > 200);
});

test("concurrent calls that miss an input raise the retention time once", (t) => {
  const retention = inputRetentions.InputRetention.create();
  for (let call = 0; call < 5; call++) retention.recordMissing("engines", 150);
  t.is(retention.time("engines"), 300);
});
