/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 15 }, (_, number) => number + 1);

// Guards against estimates that stay wrong after a control host has started
// again, and against increments that are added twice.
test("hosts that share observations know all speeds", async (t) => {
  let checked = 0;
  for (const seed of SEEDS) {
    checked += (await fuzz.runSchedule({ seed })).checked;
  }
  t.true(checked > 100);
});

test("control hosts that forward what others forward are noticed", async (t) => {
  const breakage = "forwards-all" as const;
  await t.throwsAsync(fuzz.runSchedule({ seed: 1, breakage }), {
    message: /counts [\d.]+ of \d+ observations|is wrong/,
  });
});

test("hosts that adopt no estimates are noticed", async (t) => {
  const breakage = "adopts-nothing" as const;
  const options = { seed: 2, entries: 80, breakage };
  await t.throwsAsync(fuzz.runSchedule(options), { message: /takes|is wrong/ });
});
