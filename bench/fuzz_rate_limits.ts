/** Runs drawn limits of endpoints against what keeps them.
 *
 *     npm run fuzz:limits -- --seeds 1000 --from 1 [--entries 200]
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as fuzz from "./rate_limit_fuzz/mod.ts";

const { from, schedules, entries, breakage } = options.read();
const { mean } = options;
let failed = 0;
const all: fuzz.Seen[] = [];
for (let seed = from; seed < from + schedules; seed++) {
  try {
    const schedule = { seed, entries, breakage } as fuzz.Options;
    all.push(await fuzz.runSchedule(schedule));
  } catch (failure) {
    failed++;
    console.error(`${failure}`);
  }
}
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  most: Math.max(...all.map(({ most }) => most)),
  used: mean(all.map(({ used }) => used)),
  refused: mean(all.map(({ refused }) => refused)),
  messages: mean(all.map(({ messages }) => messages)),
}));
if (failed > 0) process.exitCode = 1;
