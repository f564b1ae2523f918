/** Runs drawn announcements of endpoints against the gateway and the batchers.
 *
 *     npm run fuzz:announcements -- --seeds 1000 --from 1 [--entries 40]
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as plays from "./fuzz_world/play.ts";
import * as fuzz from "./announcement_fuzz/mod.ts";

const read = options.read();
const { from, schedules, entries, breakage } = read;
const { all, failed } = await plays.play<fuzz.Seen>(
  read,
  (seed) => fuzz.runSchedule({ seed, entries, breakage } as fuzz.Options),
);
const served = all.map((seen) => seen.served);
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  served: options.mean(served),
  least: Math.min(...served),
}));
