/** Choice by several hosts that share no counts and hear reports late,
 * against naive choices, in virtual time. Counts repeat from their seeds.
 * @module */

import * as fixture from "./fixture.ts";
import * as fleet from "./fleet.ts";
import type * as result from "../result.ts";

/** One setting of load, size and fault. */
interface Case {
  name: string;
  setup: Omit<fleet.Setup, "seed" | "pick">;
}

const SEEDS = [1, 2];

const usual = { hosts: 6, slots: fixture.SLOTS, lag: 400, slow: 0, load: 0.7 };

const CASES: readonly Case[] = [
  { name: "6 engines at 70%", setup: { ...usual, engines: 6 } },
  { name: "6 engines at 90%", setup: { ...usual, engines: 6, load: 0.9 } },
  { name: "18 engines at 70%", setup: { ...usual, engines: 18 } },
  { name: "18 engines at 90%", setup: { ...usual, engines: 18, load: 0.9 } },
  { name: "one of 6 slow", setup: { ...usual, engines: 6, slow: 1 } },
];

/** Runs all cases with all choices. */
export function run(): result.Result[] {
  return CASES.flatMap(({ name, setup }) => {
    const results: result.Result[] = [];
    const means = new Map<string, number>();
    for (const pick of fleet.picks) {
      const runs = SEEDS.map((seed) => fleet.play({ ...setup, seed, pick }));
      const all = runs.flatMap((one) => one.times).sort((a, b) => a - b);
      const mean = all.reduce((sum, one) => sum + one, 0) / all.length;
      const hits = runs.reduce((sum, one) => sum + one.hits, 0);
      const at = `stale/${name}/${pick.name}`;
      means.set(pick.name, mean);
      results.push(
        count(`${at}/mean`, "ms", mean),
        count(`${at}/p99`, "ms", all[Math.floor(0.99 * all.length)]),
        count(`${at}/cached`, "share", hits / all.length),
      );
    }
    const own = means.get("routing") ?? NaN;
    const naive = means.get("round robin") ?? NaN;
    results.push({
      name: `stale/${name}/of round robin`,
      unit: "ratio",
      value: own / naive,
      kind: "ratio",
      bound: { most: 0.9 },
    });
    return results;
  });
}

function count(name: string, unit: string, value: number): result.Result {
  return { name, unit, value, kind: "count" };
}
