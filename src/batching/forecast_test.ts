/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as forecast from "./forecast.ts";

test("a stage starts once its inputs are complete and its wait is over", (t) => {
  const chain = [
    { after: [], wait: 100, work: 200 },
    { after: [0], wait: 250, work: 50 },
    { after: [1], wait: 900, work: 10 },
  ];
  t.is(forecast.completionTime(chain), 910);
  t.is(forecast.completionTime(chain.slice(0, 2)), 350);
});

test("a stage without items takes no time", (t) => {
  t.is(forecast.completionTime([{ after: [], wait: 500, work: 0 }]), 0);
});

test("the remaining time behind a stage is its longest chain of dependents", (t) => {
  const tails = forecast.remainingTimes([
    { after: [], work: 5 },
    { after: [0], work: 10 },
    { after: [0], work: 70 },
    { after: [1], work: 100 },
  ]);
  t.deepEqual(tails, [110, 100, 0, 0]);
});

test("calls for more items than a batch run in parallel", (t) => {
  const traits = fixture.batchTraits();
  t.is(forecast.callDuration(traits, 2), 120);
  t.is(forecast.callDuration(traits, 9), 140);
  t.is(forecast.callDuration(traits, 0), 0);
});
