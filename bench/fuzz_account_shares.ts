/** Runs drawn floods of client accounts against what keeps their shares.
 *
 *     npm run fuzz:shares -- --seeds 1000 --from 1 [--entries 80]
 *
 * @module */

import * as shares from "./account_share_fuzz/mod.ts";
import * as options from "./fuzz_world/options.ts";
import * as plays from "./fuzz_world/play.ts";

const { mean } = options;
const read = options.read();
const { from, schedules, entries, breakage } = read;
const { all, failed } = await plays.play<shares.Seen>(
  read,
  (seed) => shares.runSchedule({ seed, entries, breakage } as shares.Options),
);
const contended = all.filter(({ used }) => used !== Infinity);
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  least: Math.min(...all.map(({ least }) => least)),
  used: Math.min(...contended.map(({ used }) => used)),
  meanUsed: mean(contended.map(({ meanUsed }) => meanUsed)),
  refused: mean(all.map(({ refused }) => refused)),
  windows: mean(all.map(({ windows }) => windows)),
}));
