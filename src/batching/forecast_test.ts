/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as forecast from "./forecast.ts";
import * as throughputs from "./throughput.ts";

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

test("the measured throughput applies while the queue is saturated", (t) => {
  const measured = throughputs.Throughput.create();
  measured.recordSaturation(true, 0);
  for (let at = 100; at <= 1000; at += 100) measured.recordStart(1, at);
  t.is(measured.rate(0.02, 300), 0.02);
  t.is(measured.rate(0.02, 1000), 0.01);
  measured.recordSaturation(false, 1001);
  t.is(measured.rate(0.02, 1500), 0.02);
});
