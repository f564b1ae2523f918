/** Runs drawn poison requests and troubles against what keeps them from
 * endpoints, in groups of so many seeds.
 *
 *     npm run fuzz:quarantine -- --seeds 1000 --from 1 [--entries 200]
 *
 * @module */

import * as util from "node:util";
import * as fuzz from "./quarantine_fuzz/mod.ts";

/** Seeds of one group: the part of others that is served is compared by its
 * mean. */
const GROUP = 100;

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
for (let first = from; first < from + schedules; first += GROUP) {
  const count = Math.min(GROUP, from + schedules - first);
  const group = Array.from({ length: count }, (_, number) => ({
    seed: first + number,
    entries,
    breakage,
  }));
  try {
    all.push(...await fuzz.runAll(group));
  } catch (failure) {
    failed++;
    console.error(`seeds from ${first}: ${failure}`);
  }
}
const mean = (list: readonly number[]) =>
  list.reduce((sum, each) => sum + each, 0) / list.length;
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
