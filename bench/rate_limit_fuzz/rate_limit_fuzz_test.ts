/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 25 }, (_, number) => number + 1);

test("no endpoint gets more than the limits that it names", async (t) => {
  for (const seed of SEEDS) {
    const { most } = await fuzz.runSchedule({ seed });
    t.true(most <= 1);
  }
});

test("a limit that is named again holds as soon as one host has heard it", async (t) => {
  // Hosts that learnt it with their next question had sent 13 where 5 were
  // allowed.
  for (const seed of [293, 464, 583]) {
    await t.notThrowsAsync(fuzz.runSchedule({ seed }));
  }
});

test("no endpoint gets more from 200 hosts", async (t) => {
  const { most } = await fuzz.runSchedule({ seed: 1, entries: 200 });
  t.true(most <= 1);
});

test("hosts that ask for no grant are noticed", async (t) => {
  const breakage = "asks-nobody" as const;
  await t.throwsAsync(fuzz.runSchedule({ seed: 1, breakage }), {
    message: /got \d+ of/,
  });
});
