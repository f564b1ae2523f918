/** @module */

import test from "ava";
import * as patiences from "./prior_wait.ts";

test("who has less patience left than first attempts has waited", (t) => {
  const patience = patiences.PriorWait.create();
  for (let caller = 0; caller < 5; caller++) {
    t.is(patience.estimate("route", 8000), 0);
  }
  t.is(patience.estimate("route", 6900), 1100);
  t.is(patience.estimate("other", 6900), 0);
});

test("nothing is concluded where callers differ by themselves", (t) => {
  const patience = patiences.PriorWait.create();
  for (let ms = 1000; ms < 9000; ms += 200) patience.estimate("route", ms);
  t.is(patience.estimate("route", 3000), 0);
});

test("nothing is concluded of who does not say how long it waits", (t) => {
  const patience = patiences.PriorWait.create();
  patience.estimate("route", 8000);
  t.is(patience.estimate("route", undefined), 0);
});

test("a change of the callers' patience is followed", (t) => {
  const patience = patiences.PriorWait.create();
  for (let caller = 0; caller < 20; caller++) patience.estimate("route", 8000);
  for (let caller = 0; caller < 64; caller++) patience.estimate("route", 5000);
  t.is(patience.estimate("route", 5000), 0);
});
