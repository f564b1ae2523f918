/** Runs drawn limits of endpoints against what keeps them.
 *
 *     npm run fuzz:limits -- --seeds 1000 --from 1 [--entries 200]
 *
 * @module */

import * as util from "node:util";
import * as fuzz from "./rate_limit_fuzz/mod.ts";

const { values } = util.parseArgs({
  options: {
    seeds: { type: "string", default: "1000" },
    from: { type: "string", default: "1" },
    entries: { type: "string" },
    breakage: { type: "string" },
  },
});

const from = Number(values.from);
const schedules = Number(values.seeds);
const entries = values.entries === undefined
  ? undefined
  : Number(values.entries);
const breakage = values.breakage as fuzz.Options["breakage"];
let failed = 0;
const all: fuzz.Seen[] = [];
for (let seed = from; seed < from + schedules; seed++) {
  try {
    all.push(await fuzz.runSchedule({ seed, entries, breakage }));
  } catch (failure) {
    failed++;
    console.error(`${failure}`);
  }
}
const mean = (list: readonly number[]) =>
  list.reduce((sum, each) => sum + each, 0) / list.length;
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
