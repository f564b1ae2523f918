/** What an experiment sends and when: a function of its file and seed.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import * as text from "../text.ts";

/** One request to send. */
export interface Planned {
  marker: text.Marker;
  /** Milliseconds from the start of the run. */
  at: number;
  entry: schema.Entry;
  input: Input;
}

/** Input of a request, as the callers' interface takes it. */
export interface Input {
  text: string;
  question?: string;
  documents?: string[];
}

/** What a plan depends on beside the file. */
export interface Options {
  /** Tells the markers of two runs of one file apart: six hex digits. */
  nonce: string;
}

const DEFAULT_REQUESTS = 50_000;
const DEFAULT_TOKENS: schema.Distribution = { type: "fixed", value: 48 };
const DEFAULT_SEED = 1;
/** Share of an input that it has in common with others, when it has any. */
const HISTORY_SHARE = 0.8;
const COUNTER_DIGITS = 6;
const WORDS = "hull plate weld port stern keel fouling coat anode rudder check"
  .split(" ");

/** All requests in order of time. */
export function* plan(
  experiment: schema.Experiment,
  { nonce }: Options,
): Generator<Planned> {
  const random = runtime.createRandom(experiment.seed ?? DEFAULT_SEED);
  const most = experiment.requests ?? DEFAULT_REQUESTS;
  let count = 0;
  for (const at of arrivals(experiment, random)) {
    if (count >= most) return;
    const entry = choose(experiment.mix, random);
    const tokens = draw(entry.tokens ?? DEFAULT_TOKENS, random);
    const counter = count.toString(16).padStart(COUNTER_DIGITS, "0");
    const marker = { id: `${nonce}${counter}`, length: tokens };
    const input = compose(entry.input, { marker, random });
    yield { marker, at, entry, input };
    count++;
  }
}

/** Times of Poisson arrivals, by thinning those of the highest rate. */
export function* arrivals(
  { arrivals, duration }: schema.Experiment,
  random: runtime.Random,
): Generator<number> {
  const { rate, bursts = [] } = arrivals;
  const highest = Math.max(1, ...bursts.map(({ factor }) => factor));
  let at = 0;
  while (true) {
    at -= Math.log(1 - random.next()) * 1000 / (rate * highest);
    if (at >= duration) return;
    const present = bursts.find((burst) =>
      at >= burst.at && at < burst.at + burst.for
    );
    const factor = present?.factor ?? 1;
    if (random.next() * highest < factor) yield at;
  }
}

/** A whole number from a distribution, at least 1. */
export function draw(
  distribution: schema.Distribution,
  random: runtime.Random,
): number {
  const value = drawers[distribution.type](distribution, random);
  return Math.max(1, Math.round(value));
}

const drawers: {
  [T in schema.Distribution["type"]]: (
    distribution: schema.Distribution,
    random: runtime.Random,
  ) => number;
} = {
  fixed: (distribution) => (distribution as schema.Fixed).value,
  uniform(distribution, random) {
    const { least, most } = distribution as schema.Uniform;
    return least + random.next() * (most - least);
  },
  lognormal(distribution, random) {
    const { median, sigma, most } = distribution as schema.Lognormal;
    return Math.min(most, median * Math.exp(sigma * normal(random)));
  },
};

/** Box-Muller. */
function normal(random: runtime.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function choose(
  mix: readonly schema.Entry[],
  random: runtime.Random,
): schema.Entry {
  const total = mix.reduce((sum, { share }) => sum + share, 0);
  let left = random.next() * total;
  for (const entry of mix) {
    left -= entry.share;
    if (left < 0) return entry;
  }
  return mix[mix.length - 1];
}

interface Source {
  marker: text.Marker;
  random: runtime.Random;
}

function compose(input: schema.Input, { marker, random }: Source): Input {
  const size = draw(input.characters, random);
  const mark = text.write(marker);
  const { histories, question, documents } = input;
  const shared = histories === undefined ? 0 : Math.floor(size * HISTORY_SHARE);
  const history = histories === undefined
    ? ""
    : filler(shared, `history ${random.below(histories)}`);
  const own = filler(Math.max(0, size - shared - mark.length), marker.id);
  return {
    text: `${history}${mark} ${own}`,
    ...(question === undefined ? {} : { question: `${question} ${mark}` }),
    ...(documents === undefined ? {} : {
      documents: Array.from(
        { length: documents },
        (_, pos) => `${mark} document ${pos}`,
      ),
    }),
  };
}

/** Text of a length that depends on `name` alone. */
function filler(length: number, name: string): string {
  const seed = parseInt(text.hash(name).slice(0, 8), 16);
  const words: string[] = [name];
  let size = name.length;
  for (let pos = seed; size < length; pos = (pos * 31 + 7) % 1_000_003) {
    const word = WORDS[pos % WORDS.length];
    words.push(word);
    size += word.length + 1;
  }
  return words.join(" ").slice(0, length);
}
