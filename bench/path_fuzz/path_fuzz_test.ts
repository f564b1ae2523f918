/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 30 }, (_, number) => number + 1);

// Guards against hosts that lose calls although another host reaches the
// endpoint, that keep to a detour, or that wait where no path leads.
test("hosts find the paths to endpoints through drawn partitions", async (t) => {
  const seen = { judged: 0, relayed: 0, hopeless: 0 };
  for (const seed of SEEDS) {
    const { judged, relayed, hopeless } = await fuzz.runSchedule({ seed });
    seen.judged += judged;
    seen.relayed += relayed;
    seen.hopeless += hopeless;
  }
  t.log(seen);
  t.true(seen.relayed > 1000 && seen.hopeless > 1000);
});

test("hosts that ask no other host are noticed", async (t) => {
  const failures = await Promise.allSettled(
    SEEDS.slice(0, 5).map((seed) =>
      fuzz.runSchedule({ seed, breakage: "no-relays" })
    ),
  );
  t.true(failures.some(({ status }) => status === "rejected"));
});
