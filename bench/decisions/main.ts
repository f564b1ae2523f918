/** Plays simulated loads, and says what is served of them.
 *
 *     node dist/bench/decisions/main.js [SEEDS] [--drawn] [--kinds] [--bound]
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as accounts from "./account.ts";
import * as bounds from "./bound.ts";
import * as deployments from "./deployment.ts";
import * as loads from "./load.ts";
import * as worlds from "./world.ts";

/** Milliseconds in which requests come. */
const LENGTH = 40_000;

/** Loads and faults by name: a burst of each kind that is short of something,
 * one of all, alone and with a fault. */
export const PLAYS: Readonly<
  Record<string, Pick<worlds.Play, "bursts" | "troubles">>
> = {
  calm: {},
  bursts: {
    bursts: [
      { at: 4000, length: 6000, factor: 2.5, kind: "script" },
      { at: 15_000, length: 6500, factor: 2.1, kind: "letter" },
      { at: 27_000, length: 4000, factor: 1.6 },
    ],
  },
  faults: {
    bursts: [
      { at: 3000, length: 6000, factor: 2.5, kind: "letter" },
      { at: 13_000, length: 6500, factor: 2.5, kind: "script" },
      { at: 26_000, length: 4000, factor: 1.6 },
    ],
    troubles: [
      { type: "slow", at: 10_000, length: 5000, factor: 4 },
      { type: "crash", at: 18_000, length: 3000, count: 2 },
      { type: "kill", at: 33_000, length: 1500 },
    ],
  },
};

async function main(): Promise<void> {
  const words = process.argv.slice(2);
  const seeds = Number(words.find((word) => /^\d+$/.test(word)) ?? 3);
  for (const [name, parts] of Object.entries(PLAYS)) {
    const all: accounts.Account[] = [];
    const limits: bounds.Bound[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
      const deployment = words.includes("--drawn")
        ? deployments.drawn(runtime.createRandom(seed))
        : deployments.party();
      const play = { deployment, seed, length: LENGTH, ...parts };
      if (words.includes("--bound")) limits.push(boundOf(play));
      all.push(await worlds.play(play));
    }
    const sum = (of: (account: accounts.Account) => number) =>
      all.reduce((total, each) => total + of(each), 0) / all.length;
    if (words.includes("--kinds")) {
      const ended = all.flatMap((each) => each.ended);
      console.log(accounts.table({ ...all[0], ended }));
    }
    const again = sum(({ ended }) =>
      ended.filter(({ isBack, ending }) => isBack && ending === "refused")
        .length
    );
    console.log(
      name.padEnd(8),
      `share ${sum(({ ended }) => accounts.share(ended)).toFixed(4)}`,
      `crossed ${(sum(({ crossed }) => crossed) / 1e9).toFixed(3)} GB`,
      `read ${(sum(({ read }) => read) / 1e6).toFixed(3)} M tokens`,
      `made ${sum(({ made }) => made).toFixed(0)}`,
      `no room ${sum(({ rejected }) => rejected).toFixed(0)}`,
      `inputs gone ${sum(({ starved }) => starved).toFixed(0)}`,
      `refused again ${again.toFixed(1)}`,
      ...limits.map(({ share, resource }) =>
        `bound ${share.toFixed(3)} by ${resource}`
      ),
    );
  }
}

function boundOf(play: worlds.Play): bounds.Bound {
  const { deployment, seed, length, bursts = [] } = play;
  const requests = loads.requests(deployment, { seed, length, bursts });
  return bounds.boundOf(deployment, requests);
}

await main();
