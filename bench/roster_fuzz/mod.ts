/** Drawn words about endpoints that start again under their ids, heard by
 * several hosts in other orders, doubled and lost, and told on between hosts.
 * @module */

import * as endpoints from "../../src/endpoints/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";

/** Something that must always hold does not. */
export class Violation extends Error {
  override readonly name = "Violation";
}

/** What a run is made from. */
export interface Options {
  readonly seed: number;
  /** A way to break the rule, to show that it is noticed. */
  readonly breakage?: "gone-is-final";
}

const IDS = ["i-1", "i-2", "i-3"];
const HOSTS = 4;
const MOST_WORDS = 24;
/** Milliseconds over which words are heard: less than a roster's memory. */
const SPAN = 20_000;
const TIMES = { silenceTimeoutMs: 4000, retentionMs: 60_000 };

/** Runs one schedule; throws a `Violation`. */
export function runSchedule({ seed, breakage }: Options): void {
  const random = runtime.createMixedRandom(seed);
  // Endpoints of one kind all say when they were born, or never.
  const tellsBirth = random.next() < 0.8;
  const words = Array.from(
    { length: 1 + random.below(MOST_WORDS) },
    () => draw(random, tellsBirth),
  );
  const rosters = Array.from(
    { length: HOSTS },
    () => endpoints.Roster.create(TIMES),
  );
  for (const roster of rosters) {
    const order = shuffle(random, words);
    for (const word of order) {
      if (random.next() < 0.25) continue;
      hear(roster, word, breakage);
      if (random.next() < 0.2) hear(roster, word, breakage);
    }
  }
  // Someone has heard each word, and what hosts hold goes round twice.
  words.forEach((word) => hear(rosters[random.below(HOSTS)], word, breakage));
  for (let round = 0; round < 2; round++) {
    for (const from of rosters) {
      for (const to of shuffle(random, rosters)) {
        const told = shuffle(random, [...from.entries]);
        for (const sighting of told) {
          hear(to, { status: sighting, heardAt: sighting.heardAt }, breakage);
        }
      }
    }
  }
  check(rosters, words);
}

function draw(
  random: runtime.Random,
  tellsBirth: boolean,
): endpoints.StatusReport {
  const state = (["ready", "ready", "ready", "draining", "gone"] as const)[
    random.below(5)
  ];
  const isCounted = state !== "gone" || random.next() < 0.5;
  const incarnation = random.below(4);
  const sighting: endpoints.EndpointStatus = {
    id: IDS[random.below(IDS.length)],
    ...(tellsBirth && { born: 1000 * (1 + incarnation) }),
    service: random.next() < 0.9 ? "desk" : "map",
    address: `10.0.0.${incarnation}:80`,
    dataCentre: "town",
    version: "v1",
    slots: 4,
    state,
    sequence: isCounted ? random.below(6) : -1,
  };
  return { status: sighting, heardAt: random.next() * SPAN };
}

function hear(
  roster: endpoints.Roster,
  word: endpoints.StatusReport,
  breakage: Options["breakage"],
): void {
  const { id } = word.status;
  if (breakage === "gone-is-final" && roster.get(id)?.state === "gone") return;
  roster.merge(word);
}

function check(
  rosters: readonly endpoints.Roster[],
  words: readonly endpoints.StatusReport[],
): void {
  const [first, ...others] = rosters.map(textOf);
  for (const other of others) {
    if (other !== first) throw new Violation(`${first}\nis not\n${other}`);
  }
  for (const id of new Set(words.map(({ status: sighting }) => sighting.id))) {
    const held = rosters[0].get(id);
    const expected = expectedOf(words, id);
    if (held?.born === expected.born && held?.state === expected.state) {
      continue;
    }
    throw new Violation(
      `${id} is held ${held?.state} of ${held?.born}, ` +
        `not ${expected.state} of ${expected.born}`,
    );
  }
}

/** What words about an endpoint come to, whoever heard them when. */
function expectedOf(
  words: readonly endpoints.StatusReport[],
  id: string,
): Pick<endpoints.EndpointStatus, "born" | "state"> {
  const own = words.map(({ status: sighting }) => sighting)
    .filter((sighting) => sighting.id === id);
  const born = own.reduce<number | undefined>(
    (latest, { born }) =>
      latest === undefined || (born ?? -1) > latest ? born : latest,
    undefined,
  );
  const last = own.filter((sighting) => sighting.born === born);
  if (last.some(({ state }) => state === "gone")) {
    return { born, state: "gone" };
  }
  const sequence = Math.max(...last.map((each) => each.sequence));
  const newest = last.filter((each) => each.sequence === sequence);
  const isDraining = newest.some(({ state }) => state === "draining");
  return { born, state: isDraining ? "draining" : "ready" };
}

/** All that hosts must agree on; of what is gone only that it is. */
function textOf(roster: endpoints.Roster): string {
  const entries = [...roster.entries].map((entry) => {
    const { id, born, state, service, address, sequence } = entry;
    return state === "gone"
      ? { id, born, state }
      : { id, born, state, service, address, sequence };
  });
  return JSON.stringify(entries.sort((a, b) => a.id < b.id ? -1 : 1));
}

function shuffle<T>(random: runtime.Random, list: readonly T[]): T[] {
  return list
    .map((item) => ({ item, at: random.next() }))
    .sort((a, b) => a.at - b.at)
    .map(({ item }) => item);
}
