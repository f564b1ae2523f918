/** @module */

import test from "ava";
import * as fuzz from "./mod.ts";

const SEEDS = Array.from({ length: 25 }, (_, number) => number + 1);

// Guards against streams that hold events of two software versions, and against
// hosts that can't continue the streams of others.
test("streams keep their version through drawn disturbances, and most continue", async (t) => {
  const sum = { streams: 0, resumed: 0, continued: 0 };
  for (const seed of SEEDS) {
    const { streams, resumed, continued } = await fuzz.runSchedule({ seed });
    sum.streams += streams;
    sum.resumed += resumed;
    sum.continued += continued;
  }
  t.log(sum);
  t.true(sum.resumed > 1000);
});

const BREAKAGES = ["guesses", "asks-nobody", "trusts-own-view"] as const;
for (const breakage of BREAKAGES) {
  test(`schedules notice a host that ${breakage.replaceAll("-", " ")}`, async (t) => {
    const failures = await Promise.allSettled(
      SEEDS.slice(0, 12).map((seed) => fuzz.runSchedule({ seed, breakage })),
    );
    t.true(failures.some(({ status }) => status === "rejected"));
  });
}
