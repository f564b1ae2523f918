/** @module */

import test from "ava";
import * as priorWaits from "./prior_wait.ts";

test("a timeout shorter than that of first attempts shows a prior wait", (t) => {
  const priorWait = priorWaits.PriorWait.create();
  for (let caller = 0; caller < 5; caller++) {
    t.is(priorWait.estimate("route", 8000), 0);
  }
  t.is(priorWait.estimate("route", 6900), 1100);
  t.is(priorWait.estimate("other", 6900), 0);
});

test("no wait is inferred if callers use different timeouts", (t) => {
  const priorWait = priorWaits.PriorWait.create();
  for (let ms = 1000; ms < 9000; ms += 200) priorWait.estimate("route", ms);
  t.is(priorWait.estimate("route", 3000), 0);
});

test("no wait is inferred for a caller without a timeout", (t) => {
  const priorWait = priorWaits.PriorWait.create();
  priorWait.estimate("route", 8000);
  t.is(priorWait.estimate("route", undefined), 0);
});

test("the estimate follows a change of the callers' timeout", (t) => {
  const priorWait = priorWaits.PriorWait.create();
  for (let caller = 0; caller < 20; caller++) priorWait.estimate("route", 8000);
  for (let caller = 0; caller < 64; caller++) priorWait.estimate("route", 5000);
  t.is(priorWait.estimate("route", 5000), 0);
});
