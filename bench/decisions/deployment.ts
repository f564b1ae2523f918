/** Deployments for simulated decisions: what is asked for, and what answers it.
 * @module */

import type * as configurations from "../../src/configuration/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";

/** A size that varies: mean, spread of its logarithm, and most. */
export interface Size {
  readonly mean: number;
  readonly spread: number;
  readonly most: number;
}

/** Pieces of one stage of a kind of request. */
export interface StageLoad extends configurations.Stage {
  readonly pieces: Size;
  /** Part of the requests that have the stage. */
  readonly share: number;
  /** Times the usual work of a piece. */
  readonly effort: number;
}

/** A kind of request. */
export interface Kind {
  readonly name: string;
  readonly rank: number;
  /** Requests a second. */
  readonly rate: number;
  /** Milliseconds to the first event, and from event to event. */
  readonly objective: number;
  readonly gap: number;
  /** Milliseconds that a caller waits in all. */
  readonly patience: number;
  /** What an answer is worth in time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
  /** Parts of the prompt that requests share: tokens, and how many there are. */
  readonly shared: readonly { tokens: number; variety: number }[];
  /** Tokens of the prompt that are the request's own. */
  readonly own: Size;
  readonly events: Size;
  readonly stages: readonly StageLoad[];
}

/** Model engines. */
export interface EngineTraits {
  /** Number in each data centre. */
  readonly counts: Readonly<Record<string, number>>;
  readonly slots: number;
  readonly tokens: number;
  /** Prompt tokens read in a millisecond. */
  readonly readRate: number;
  /** Milliseconds of a step without reading. */
  readonly step: number;
  /** Most prompt tokens read in one step. */
  readonly chunk: number;
  /** Tokens of an event. */
  readonly stride: number;
  /** Milliseconds from a call to when its inputs are fetched. */
  readonly fetchTime: number;
  /** Prompt tokens that an engine fetches in a millisecond from another one's
   * memory; absent where it can't. */
  readonly fetchRate?: number;
}

/** Endpoints that make pieces. */
export interface MakerTraits {
  readonly counts: Readonly<Record<string, number>>;
  readonly traits: configurations.BatchTraits;
}

/** All that a play needs to know. */
export interface Deployment {
  readonly hosts: Readonly<Record<string, number>>;
  readonly engines: EngineTraits;
  readonly makers: Readonly<Record<string, MakerTraits>>;
  readonly kinds: readonly Kind[];
  /** Client accounts, each with as many callers; requests need no key without
   * any. */
  readonly accounts?: readonly configurations.Account[];
}

/** More requests of a kind, or of all, for a while. */
export interface Burst {
  readonly at: number;
  readonly length: number;
  readonly factor: number;
  readonly kind?: string;
}

/** Engines and stages shared by kinds that strain them in different ways: dear
 * prompts with large results, and chains of three stages. The figures are of
 * the order that users name for theirs. */
export function party(): Deployment {
  const chain = (first: number): StageLoad[] => [
    stage("roster", [], 8000, { mean: 1, effort: 0.3 }),
    stage("costumes", [first], 60_000, { mean: 6 }),
    stage("payouts", [first + 1], 6000, { mean: 10, spread: 0.4, most: 25 }),
  ];
  return {
    hosts: { a: 3, b: 3, c: 2 },
    engines: {
      counts: { a: 3, b: 3, c: 2 },
      slots: 64,
      tokens: 300_000,
      readRate: 30,
      step: 6,
      chunk: 1024,
      stride: 3,
      fetchTime: 3,
      fetchRate: 2500,
    },
    makers: {
      roster: makers({ a: 1, b: 1, c: 1 }, [6, 200, 28, 14_000_000]),
      costumes: makers({ a: 2, b: 1, c: 1 }, [12, 200, 14, 1_600_000]),
      payouts: makers({ a: 2, b: 1, c: 1 }, [21, 200, 8, 280_000]),
    },
    kinds: [
      {
        ...kind("script", { rank: 1, rate: 7.5, objective: 1400 }),
        patience: 8000,
        worth: 3.3,
        lateWorth: 0.5,
        shared: [{ tokens: 2500, variety: 4 }, { tokens: 3800, variety: 125 }],
        own: { mean: 2900, spread: 0.6, most: 20_000 },
        events: { mean: 17, spread: 1, most: 70 },
        stages: [
          stage("roster", [], 1_500_000, {
            mean: 2.5,
            spread: 0.6,
            most: 10,
            share: 0.7,
          }),
        ],
      },
      {
        ...kind("letter", { rank: 0, rate: 5.2, objective: 2000 }),
        patience: 6000,
        worth: 1.8,
        lateWorth: 0.27,
        shared: [{ tokens: 340, variety: 20 }, { tokens: 230, variety: 90 }],
        own: { mean: 1800, spread: 1.2, most: 7000 },
        events: { mean: 8, spread: 1, most: 30 },
        stages: chain(0),
      },
      {
        ...kind("reply", { rank: 2, rate: 6.5, objective: 1800 }),
        patience: 20_000,
        worth: 0.5,
        lateWorth: 0.075,
        shared: [{ tokens: 100, variety: 40 }, { tokens: 70, variety: 160 }],
        own: { mean: 540, spread: 0.9, most: 2300 },
        events: { mean: 80, spread: 0.7, most: 190 },
        stages: [
          stage("roster", [], 1_500_000, {
            mean: 1.5,
            spread: 0.6,
            most: 6,
            share: 0.4,
          }),
          ...chain(1),
        ],
      },
    ],
  };
}

/** Size of the results that plans need. */
const LARGE_RESULT_BYTES = 3_000_000;

/** A fleet of some hundred hosts before dozens of engines: each host sees a few
 * of an engine's requests in a hundred, and a shared part of a prompt comes back
 * through another host. The figures are of the order that users name for
 * theirs. */
export function large(): Deployment {
  const places = ["a", "b", "c", "d", "e"];
  const spread = (total: number) =>
    Object.fromEntries(places.map((place, pos) => [
      place,
      Math.floor((total + pos) / places.length),
    ]));
  const chain = (first: number): StageLoad[] => [
    stage("records", [], 8000, { mean: 1, effort: 0.3 }),
    stage("checks", [first], 60_000, { mean: 8 }),
    stage("accounts", [first + 1], 6000, { mean: 16, spread: 0.4, most: 40 }),
  ];
  return {
    hosts: spread(190),
    engines: {
      counts: spread(55),
      slots: 64,
      tokens: 580_000,
      readRate: 60,
      step: 6.5,
      chunk: 1024,
      stride: 2,
      fetchTime: 3,
      fetchRate: 2600,
    },
    makers: {
      records: makers(spread(9), [8, 150, 16, 43_000_000]),
      checks: makers(spread(23), [12, 150, 11, 2_100_000]),
      accounts: makers(spread(28), [20, 150, 6.4, 350_000]),
    },
    kinds: [
      {
        ...kind("plan", { rank: 0, rate: 34, objective: 1500 }),
        patience: 15_000,
        worth: 4,
        lateWorth: 0.6,
        shared: [{ tokens: 13_300, variety: 570 }],
        own: { mean: 3700, spread: 1.1, most: 50_000 },
        events: { mean: 60, spread: 1.4, most: 240 },
        stages: [
          stage("records", [], LARGE_RESULT_BYTES, {
            mean: 2.5,
            spread: 0.6,
            most: 10,
            share: 0.7,
          }),
        ],
      },
      {
        ...kind("summary", { rank: 1, rate: 27, objective: 2700 }),
        patience: 10_000,
        worth: 1.4,
        lateWorth: 0.2,
        shared: [{ tokens: 2500, variety: 4 }, { tokens: 3800, variety: 460 }],
        own: { mean: 2900, spread: 1, most: 40_000 },
        events: { mean: 26, spread: 1.4, most: 100 },
        stages: chain(0),
      },
      {
        ...kind("question", { rank: 2, rate: 37, objective: 2700 }),
        patience: 15_000,
        worth: 0.4,
        lateWorth: 0.06,
        shared: [{ tokens: 210, variety: 15 }, { tokens: 140, variety: 620 }],
        own: { mean: 1100, spread: 1, most: 3800 },
        events: { mean: 86, spread: 0.9, most: 260 },
        stages: [
          stage("records", [], LARGE_RESULT_BYTES, {
            mean: 1.5,
            spread: 0.6,
            most: 6,
            share: 0.4,
          }),
          ...chain(1),
        ],
      },
    ],
  };
}

/** A fleet of 75 hosts before 60 engines in three data centres. Its endpoints of
 * records have memory for `largeResults` of those that plans need. `counts` are
 * the endpoints of checks, and as many of accounts, in each data centre. */
export function grown(
  { largeResults = 14, counts = { a: 5, b: 5, c: 5 } }: {
    largeResults?: number;
    counts?: MakerTraits["counts"];
  } = {},
): Deployment {
  const places = ["a", "b", "c"];
  const each = (count: number) =>
    Object.fromEntries(places.map((place) => [place, count]));
  const base = large();
  const { records, checks, accounts } = base.makers;
  const [plan, summary, question] = base.kinds;
  return {
    ...base,
    hosts: each(25),
    engines: { ...base.engines, counts: each(20), stride: 3 },
    makers: {
      records: {
        counts: { a: 4, b: 3, c: 3 },
        traits: { ...records.traits, room: largeResults * LARGE_RESULT_BYTES },
      },
      checks: {
        counts,
        traits: { ...checks.traits, batch: 20, itemTime: 6.4, room: 3_600_000 },
      },
      accounts: {
        counts,
        traits: { ...accounts.traits, batch: 34, itemTime: 3.8, room: 600_000 },
      },
    },
    kinds: [
      { ...plan, rate: 40 },
      { ...summary, rate: 32 },
      { ...question, rate: 44 },
    ],
  };
}

/** Numbers that are drawn before the first that counts. */
const SKIPPED = 10;
/** Load of drawn deployments against what would strain them as the others:
 * the smallest of several bounds is taken, so that it may be more. */
const LOAD = 1.3;

/** A deployment of other figures: engines that read 10 to 100 tokens a
 * millisecond, calls of 50 to 400 ms, with the load to match. */
export function drawn(random: runtime.Random): Deployment {
  const base = party();
  // The first numbers of small seeds are nearly the same.
  for (let number = 0; number < SKIPPED; number++) random.next();
  const between = (low: number, high: number) =>
    low * (high / low) ** random.next();
  const readRate = between(10, 100);
  const call = between(50, 400) / 200;
  const count = Math.round(between(2, 12));
  const slower = Math.max(1, call, 30 / readRate);
  const load = LOAD *
    Math.min(count / 8, count / 3.5 / call, (count / 8) * (readRate / 30));
  const room = between(0.7, 3);
  const spread = (total: number) => ({
    a: Math.ceil(total / 3),
    b: Math.ceil((total - 1) / 3),
    c: Math.max(0, Math.ceil((total - 2) / 3)),
  });
  return {
    ...base,
    engines: { ...base.engines, readRate, counts: spread(count) },
    makers: Object.fromEntries(
      Object.entries(base.makers).map(([name, { traits }]) => [name, {
        counts: spread(count),
        traits: {
          ...traits,
          callTime: traits.callTime * call,
          itemTime: traits.itemTime * call,
          room: traits.room * room,
        },
      }]),
    ),
    kinds: base.kinds.map((each) => ({
      ...each,
      rate: each.rate * load,
      objective: each.objective * slower,
      patience: each.patience * slower,
    })),
  };
}

function makers(
  counts: MakerTraits["counts"],
  [batch, callTime, pieceTime, room]: [number, number, number, number],
): MakerTraits {
  const traits = { batch, callTime, itemTime: pieceTime, room };
  return { counts, traits: { ...traits, slots: 1, queue: 2, keepTime: 4000 } };
}

function stage(
  service: string,
  after: number[],
  bytes: number,
  { mean, spread = 0, most = 99, share = 1, effort = 1 }: {
    mean: number;
    spread?: number;
    most?: number;
    share?: number;
    effort?: number;
  },
): StageLoad {
  const pieces = { mean, spread, most };
  return { service, after, bytes, pieces, share, effort };
}

function kind(
  name: string,
  given: Pick<Kind, "rank" | "rate" | "objective">,
): Pick<Kind, "name" | "rank" | "rate" | "objective" | "gap"> {
  return { name, gap: 250, ...given };
}
