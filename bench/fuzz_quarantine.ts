/** Runs drawn poison requests and troubles against what keeps them from
 * endpoints, in groups of so many seeds.
 *
 *     npm run fuzz:quarantine -- --seeds 1000 --from 1 [--entries 200]
 *
 * @module */

import * as options from "./fuzz_world/options.ts";
import * as fuzz from "./quarantine_fuzz/mod.ts";

/** Seeds of one group: the part of others that is served is compared by its
 * mean. */
const GROUP = 100;

const { from, schedules, entries, breakage } = options.read();
const { mean } = options;
let failed = 0;
const all: fuzz.Seen[] = [];
for (let first = from; first < from + schedules; first += GROUP) {
  const count = Math.min(GROUP, from + schedules - first);
  const group = Array.from({ length: count }, (_, number) => {
    const seed = first + number;
    return { seed, entries, breakage } as fuzz.Options;
  });
  try {
    all.push(...await fuzz.runAll(group));
  } catch (failure) {
    failed++;
    console.error(`seeds from ${first}: ${failure}`);
  }
}
console.log(JSON.stringify({
  from,
  schedules,
  failed,
  crashes: mean(all.flatMap(({ crashes }) => crashes)),
  late: mean(all.flatMap(({ late }) => late)),
  served: mean(all.map(({ served }) => served)),
  messages: mean(all.map(({ messages }) => messages)),
}));
if (failed > 0) process.exitCode = 1;
