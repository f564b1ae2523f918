/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 25 }, (_, number) => number + 1);

// Guards against floods that take the shares of other accounts, limits that
// leave capacity unused, and refusals without contention; the judge has the
// bounds and their reasons.
test("accounts get their shares whatever others send and hosts fail", async (t) => {
  for (const seed of SEEDS) await t.notThrowsAsync(fuzz.runSchedule({ seed }));
});

// The capacity of seed 989 falls to a third of the estimate at which contention
// began; the least estimate once followed from the repeated requests of a flood,
// and endpoints denied most requests until its end.
test("limits follow a capacity that falls during a flood", async (t) => {
  await t.notThrowsAsync(fuzz.runSchedule({ seed: 989 }));
});

test("accounts get their shares from 80 hosts", async (t) => {
  await t.notThrowsAsync(fuzz.runSchedule({ seed: 1, entries: 80 }));
});

// While the estimate is too high, endpoints also deny requests of an account that
// asks for little and is not limited.
test("an account that asks for little keeps its share while the estimate falls", async (t) => {
  for (const seed of [957, 1428]) {
    await t.notThrowsAsync(fuzz.runSchedule({ seed }));
  }
});

test("hosts that admit everything are noticed", async (t) => {
  const breakage = "admits-all" as const;
  await t.throwsAsync(fuzz.runSchedule({ seed: 28, breakage }), {
    message: /got \d+ of/,
  });
});
