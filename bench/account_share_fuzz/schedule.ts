/** Draws what a schedule of account shares plays.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";

/** What callers do with a refused request. */
export type Manner = "returns" | "repeats" | "drops";

/** A client account. */
export interface Account {
  readonly name: string;
  readonly rank: number;
  readonly manner: Manner;
  /** Cost per second that it asks for before and during the flood. */
  readonly before: number;
  readonly during: number;
}

/** A drawn schedule; times are in milliseconds, costs in units of the service. */
export interface Schedule {
  readonly entries: number;
  readonly cores: number;
  /** Hosts of the previous release among them. */
  readonly oldEntries: number;
  readonly oldCores: number;
  readonly slotRate: number;
  readonly slots: number;
  /** Work in the queue above which requests are denied. */
  readonly maxQueue: number;
  /** Declared costs of requests. */
  readonly minCost: number;
  readonly maxCost: number;
  /** Undefined without a flood. */
  readonly floodAt?: number;
  readonly accounts: readonly Account[];
  readonly capacityChanges: readonly { at: number; slots: number }[];
  readonly disturbances: readonly {
    at: number;
    length: number;
    isCore: boolean;
    isRestart: boolean;
  }[];
}

/** Milliseconds in which requests arrive. */
export const LENGTH_MS = 26_000;

const ENTRIES = [2, 4, 8, 24];
const MANNERS: readonly Manner[] = ["returns", "returns", "repeats", "drops"];

/** Draws a schedule. */
export function draw(
  random: runtime.Random,
  { entries }: { entries?: number } = {},
): Schedule {
  const isPrompts = random.next() < 0.4;
  const slotRate = isPrompts ? 8000 : 5;
  const slots = 8 + random.below(24);
  const capacity = slots * slotRate;
  const hasFlood = random.next() < 0.85;
  const entryCount = entries ?? ENTRIES[random.below(ENTRIES.length)];
  const floodAt = 4000 + random.next() * 3000;
  return {
    entries: entryCount,
    cores: 3 + random.below(3),
    oldEntries: random.next() < 0.1 ? Math.floor(entryCount / 2) : 0,
    oldCores: random.next() < 0.2 ? 1 + random.below(2) : 0,
    slotRate,
    slots,
    maxQueue: [400, 1000, 2000][random.below(3)],
    minCost: isPrompts ? 500 : 1,
    maxCost: isPrompts ? 6000 : 1,
    ...(hasFlood && { floodAt }),
    accounts: drawAccounts(random, { capacity, hasFlood }),
    capacityChanges: hasFlood && random.next() < 0.3
      ? [{
        at: floodAt + 5000 + random.next() * 6000,
        slots: Math.max(4, Math.round(slots * (0.5 + random.next()))),
      }]
      : [],
    disturbances: random.next() < 0.5 ? drawDisturbances(random) : [],
  };
}

/** Accounts that ask for 0.3 to 0.6 of the capacity. During the flood, some or
 * all of them ask for many times as much. */
function drawAccounts(
  random: runtime.Random,
  { capacity, hasFlood }: { capacity: number; hasFlood: boolean },
): Account[] {
  const count = 2 + random.below(9);
  const ranks = [1, 1, 2, 3][random.below(4)];
  const load = 0.3 + random.next() * 0.3;
  const weights = Array.from({ length: count }, () => 0.5 + random.next());
  const sum = weights.reduce((total, each) => total + each, 0);
  const floods = random.next() < 0.2 ? count : 1 + random.below(2);
  const factor = 1.5 + random.next() * 2.5;
  return weights.map((weight, number) => {
    const before = capacity * load * weight / sum;
    const isFlood = hasFlood && number < floods;
    return {
      name: `account-${number}`,
      rank: random.below(ranks),
      manner: MANNERS[random.below(MANNERS.length)],
      before,
      during: isFlood ? capacity * factor / floods : before,
    };
  });
}

function drawDisturbances(
  random: runtime.Random,
): Schedule["disturbances"] {
  return Array.from({ length: 1 + random.below(3) }, () => ({
    at: random.next() * LENGTH_MS,
    length: 300 + random.next() * 4000,
    isCore: random.next() < 0.6,
    isRestart: random.next() < 0.5,
  }));
}
