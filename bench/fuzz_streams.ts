/** Runs drawn disturbances of streams that callers resume.
 *
 *     npm run fuzz:streams -- --seeds 1000 --from 1 [--entries 60]
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as plays from "./fuzz_world/play.ts";
import * as fuzz from "./stream_fuzz/mod.ts";

const read = options.read();
const { from, schedules, entries, breakage } = read;
const { all, failed } = await plays.play<fuzz.Seen>(
  read,
  (seed) => fuzz.runSchedule({ seed, entries, breakage } as fuzz.Options),
);
const sumOf = (key: keyof fuzz.Seen) =>
  all.reduce((sum, seen) => sum + seen[key], 0);
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  streams: sumOf("streams"),
  begun: sumOf("begun"),
  resumed: sumOf("resumed"),
  continued: sumOf("continued"),
}));
