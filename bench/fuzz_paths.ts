/** Runs drawn partitions of hosts from endpoints against the choice of paths.
 *
 *     npm run fuzz:paths -- --seeds 1000 --from 1
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as plays from "./fuzz_world/play.ts";
import * as fuzz from "./path_fuzz/mod.ts";

const read = options.read();
const { from, schedules, breakage } = read;
const { all, failed } = await plays.play<fuzz.Seen>(
  read,
  (seed) => fuzz.runSchedule({ seed, breakage } as fuzz.Options),
);
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  judged: options.mean(all.map(({ judged }) => judged)),
  relayed: options.mean(all.map(({ relayed }) => relayed)),
  hopeless: options.mean(all.map(({ hopeless }) => hopeless)),
  violations: options.mean(all.map(({ violations }) => violations)),
}));
