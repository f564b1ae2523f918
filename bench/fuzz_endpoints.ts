/** Runs drawn words about endpoints that start again against rosters.
 *
 *     npm run fuzz:endpoints -- --seeds 10000 --from 1
 *
 * @module */

import * as util from "node:util";
import * as fuzz from "./roster_fuzz/mod.ts";

const { values } = util.parseArgs({
  options: {
    seeds: { type: "string", default: "10000" },
    from: { type: "string", default: "1" },
  },
});

const from = Number(values.from);
const schedules = Number(values.seeds);
let failed = 0;
for (let seed = from; seed < from + schedules; seed++) {
  try {
    fuzz.runSchedule({ seed });
  } catch (failure) {
    failed++;
    console.error(`seed ${seed}: ${failure}`);
  }
}
console.log(JSON.stringify({ from, schedules, failed }));
if (failed > 0) process.exitCode = 1;
