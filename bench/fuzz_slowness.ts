/** Runs drawn disturbances of hosts that share the slowness of endpoints.
 *
 *     npm run fuzz:slowness -- --seeds 1000 --from 1 [--entries 80]
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as plays from "./fuzz_world/play.ts";
import * as fuzz from "./slowness_fuzz/mod.ts";

const read = options.read();
const { from, schedules, entries, breakage } = read;
const { all, failed } = await plays.play<fuzz.Seen>(
  read,
  (seed) => fuzz.runSchedule({ seed, entries, breakage } as fuzz.Options),
);
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  checked: options.mean(all.map(({ checked }) => checked)),
  worst: Math.max(...all.map(({ worst }) => worst)),
  messages: options.mean(all.map(({ messages }) => messages)),
}));
