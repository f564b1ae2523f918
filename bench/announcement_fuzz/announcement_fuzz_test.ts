/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 20 }, (_, number) => number + 1);
/** Share of the requests that must be served: six endpoints of ten are sound. */
const MIN_SERVED = 0.95;

// Guards against calls to endpoints that announced their departure or a backoff,
// and against endpoints that reject calls and draw load in.
test("announcements of endpoints are kept whatever rosters say", async (t) => {
  for (const seed of SEEDS) {
    const { served } = await fuzz.runSchedule({ seed });
    t.true(served >= MIN_SERVED, `seed ${seed}: served ${served}`);
  }
});

test("hosts that receive no announcements are noticed", async (t) => {
  const breakage = "announces-nothing" as const;
  const failures = await Promise.allSettled(
    SEEDS.slice(0, 5).map((seed) => fuzz.runSchedule({ seed, breakage })),
  );
  t.true(failures.some(({ status }) => status === "rejected"));
});
