/** Runs drawn disturbances of hosts before brittle endpoints.
 *
 *     npm run fuzz:slots -- --seeds 1000 --from 1 [--entries 60]
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as plays from "./fuzz_world/play.ts";
import * as fuzz from "./slot_fuzz/mod.ts";

const read = options.read();
const { from, schedules, entries, breakage } = read;
const { all, failed } = await plays.play<fuzz.Seen>(
  read,
  (seed) => fuzz.runSchedule({ seed, entries, breakage } as fuzz.Options),
);
const used = all.map((seen) => seen.used);
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  falls: options.mean(all.map(({ falls }) => falls)),
  used: options.mean(used),
  least: Math.min(...used),
}));
