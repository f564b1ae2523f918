/** Runs seeded schedules of troubles against fleets with more control hosts than
 * voters.
 *
 *     npm run fuzz:versions -- --seeds 1000 --from 1
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as fuzz from "./versions_fuzz/mod.ts";

const { from, schedules } = options.read();
const sums: Record<string, number> = {};
let failed = 0;
for (let seed = from; seed < from + schedules; seed++) {
  try {
    const summary = await fuzz.runSchedule({ seed });
    for (const [key, count] of Object.entries(summary)) {
      sums[key] = (sums[key] ?? 0) + count;
    }
  } catch (failure) {
    failed++;
    console.error(`seed ${seed}: ${failure}`);
  }
}
console.log(JSON.stringify({ from, schedules, failed, ...sums }));
if (failed > 0) process.exitCode = 1;
