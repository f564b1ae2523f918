/** Runs seeded schedules of faults against membership, registry and shares.
 *
 *     npm run fuzz:members -- [--seeds 200] [--from 1] [--seconds 60]
 *
 * @module */

import * as url from "node:url";
import * as util from "node:util";
import * as fuzz from "./members_fuzz/mod.ts";

/** Runs the schedules of one seed; throws a violation on a failure. */
export function run(seed: number): void {
  fuzz.views.run({ seed });
  fuzz.shares.run({ seed });
}

function main(): void {
  const { values } = util.parseArgs({
    options: {
      seeds: { type: "string", default: "200" },
      from: { type: "string", default: "1" },
      seconds: { type: "string", default: "Infinity" },
    },
  });
  const from = Number(values.from);
  const end = performance.now() + Number(values.seconds) * 1000;
  let failed = 0;
  let count = 0;
  for (; count < Number(values.seeds) && performance.now() < end; count++) {
    try {
      run(from + count);
    } catch (failure) {
      failed++;
      console.error(`seed ${from + count}: ${failure}`);
      if (!(failure instanceof fuzz.Violation)) console.error(failure);
    }
  }
  console.log(JSON.stringify({ from, schedules: count, failed }));
  if (failed > 0) process.exitCode = 1;
}

if (process.argv[1] === url.fileURLToPath(import.meta.url)) main();
