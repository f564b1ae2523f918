/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 60 }, (_, number) => ({ seed: number + 1 }));

test("a poison request ends few endpoints, whatever happens beside it", async (t) => {
  const runs = await fuzz.runAll(SEEDS);
  t.is(runs.length, SEEDS.length);
});

test("a host that was cut off tells what it has seen meanwhile", async (t) => {
  // It saw three crashes, and reported them once, while it was cut off.
  await t.notThrowsAsync(fuzz.runSchedule({ seed: 3394 }));
});

test("of 200 hosts each knows a poison request in time", async (t) => {
  await t.notThrowsAsync(fuzz.runSchedule({ seed: 1, entries: 200 }));
});

// Guards against a part that turns bad: a run that began before and ended well
// acquitted it, and what all requests share was blamed in its place.
test("a shared part that turns bad ends few endpoints", async (t) => {
  for (const seed of [56, 103, 234, 666, 854, 2571, 2806]) {
    await t.notThrowsAsync(fuzz.runSchedule({ seed }));
  }
});

// Guards against a request that is kept back again and again while a part that
// all requests share is blamed for those of others.
test("an innocent request beside several poison parts is kept back three times at most", async (t) => {
  for (const seed of [2485, 2586, 3134, 3814]) {
    await t.notThrowsAsync(fuzz.runSchedule({ seed }));
  }
});

test("nothing is sent while no request is suspected", async (t) => {
  const breakage = "remembers-nothing";
  const calm = await t.throwsAsync(fuzz.runSchedule({ seed: 1, breakage }));
  t.regex(calm.message, /"messages":0/);
});

test("a fleet that remembers nothing is noticed", async (t) => {
  const breakage = "remembers-nothing" as const;
  const failure = await t.throwsAsync(fuzz.runSchedule({ seed: 2, breakage }));
  t.regex(failure.message, /sent too often/);
});

test("a fleet that acquits nobody is noticed", async (t) => {
  const breakage = "forgets-answers" as const;
  const all = SEEDS.map((each) => ({ ...each, breakage }));
  const failure = await t.throwsAsync(fuzz.runAll(all));
  t.regex(failure.message, /others not served|kept back too often/);
});
