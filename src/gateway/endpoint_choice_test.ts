/** @module */

import test from "ava";
import * as performances from "../performance/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as choices from "./endpoint_choice.ts";
import * as endpoints from "./endpoint.ts";
import * as firstEventLatencies from "./first_event_latency.ts";
import * as cacheMisses from "./cache_miss.ts";
import * as cachedPrefixes from "./cached_prefixes.ts";

const random: runtime.Random = { next: () => 0, below: () => 0 };
const context = { now: 0, random, dataCentre: "town" };

function createEndpoint(id: string, change: Partial<endpoints.Identity> = {}) {
  const address = `10.0.0.1:${id}`;
  const place = { service: "s", address, dataCentre: "town", slots: 4 };
  const identity = { id, name: id, version: "v1", ...place };
  const prefixes = cachedPrefixes.CachedPrefixes.create(100_000);
  const firstEventLatency = firstEventLatencies.FirstEventLatency.create();
  const eventGap = performances.MeanDuration.create();
  const engine = { cachedPrefixes: prefixes, firstEventLatency, eventGap };
  return endpoints.Endpoint.create({ ...identity, ...change }, engine);
}

function createPrompt(shared: string, own: string) {
  return {
    model: "m",
    inputTokens: 11_000,
    outputTokens: 100,
    parts: [{ id: shared, tokens: 10_000 }, { id: own, tokens: 1000 }],
  };
}

test("a call without a prompt goes to the endpoint with the least load", (t) => {
  const [one, two] = [createEndpoint("1"), createEndpoint("2")];
  one.inFlight = 3;
  t.is(choices.chooseEndpoint([one, two], context), two);
});

test("a failing endpoint is avoided even if it answers fast", (t) => {
  const [one, two] = [createEndpoint("1"), createEndpoint("2")];
  for (let pos = 0; pos < 8; pos++) one.recordHealth("bad", 0);
  one.recordDuration(5);
  two.recordDuration(50);
  t.is(choices.chooseEndpoint([one, two], context), two);
});

/** Number of times that the first of some endpoints, whose calls take `durations`,
 * is chosen in `count` choices. */
function choicesOfFirst(durations: readonly number[], count: number): number {
  const all = durations.map((_, pos) => createEndpoint(`${pos}`));
  // One call of the first endpoint is slow once.
  all.forEach((each, pos) => each.recordDuration(pos === 0 ? 400 : 1));
  return countChoices(all, { durations, count })[0];
}

/** Number of times that each endpoint is chosen in `count` choices; calls of one
 * without a duration are not answered. */
function countChoices(
  all: readonly endpoints.Endpoint[],
  { durations, count }: {
    durations: readonly (number | undefined)[];
    count: number;
  },
): number[] {
  const drawn = { ...context, random: runtime.createRandom(7) };
  const counts = all.map(() => 0);
  for (let made = 0; made < count; made++) {
    const pos = all.indexOf(choices.chooseEndpoint(all, drawn)!);
    counts[pos]++;
    const duration = durations[pos];
    if (duration !== undefined) all[pos].recordDuration(duration);
  }
  return counts;
}

// Guards against an endpoint that hardly gets calls because one was slow: only a
// call corrected the mean, and the endpoint with the lowest mean gets all calls.
test("an endpoint with one slow call gets its share again", (t) => {
  t.true(choicesOfFirst([1, 1, 1, 1, 1], 2000) >= 2000 / 10);
});

test("an endpoint that stays slow gets few calls", (t) => {
  t.true(choicesOfFirst([400, 1, 1, 1, 1], 2000) <= 2000 / 50);
});

// Guards against an endpoint that gets hardly any calls since it has answered none:
// it counted as one that takes 1 ms, however fast the others are.
test("an endpoint without an answer gets its share beside fast ones", (t) => {
  const durations = [undefined, ...Array<number>(9).fill(0.5)];
  const all = durations.map((_, pos) => createEndpoint(`${pos}`));
  const [first] = countChoices(all, { durations, count: 2000 });
  t.true(first >= 2000 / 20, `${first}`);
});

// Guards against an endpoint that draws all calls until its first answer.
test("an endpoint without an answer gets no more than its share beside slow ones", (t) => {
  const all = Array.from({ length: 10 }, (_, pos) => createEndpoint(`${pos}`));
  const [first, ...answering] = all;
  answering.forEach((each) => each.recordDuration(200));
  for (let count = 0; count < 40; count++) {
    choices.chooseEndpoint(all, context)!.inFlight++;
  }
  t.true(first.inFlight <= 2 * 40 / 10, `${first.inFlight}`);
});

// Guards against means that fall to nothing beside an endpoint without an answer,
// whose unknown mean counted as the lowest.
test("an endpoint without an answer makes no other look faster", (t) => {
  const durations = [undefined, 20, 20, 20];
  const all = durations.map((_, pos) => createEndpoint(`${pos}`));
  const [, ...answering] = all;
  answering.forEach((each) => each.recordDuration(20));
  countChoices(all, { durations, count: 2000 });
  t.deepEqual(answering.map(({ meanDuration }) => meanDuration), [20, 20, 20]);
});

test("a prompt goes to an engine whose cache holds its shared part", (t) => {
  const engines = ["1", "2", "3"].map((id) => createEndpoint(id));
  for (const engine of engines) {
    engines.forEach((each) =>
      each.cachedPrefixes!.insert(createPrompt("other", "x"))
    );
    engine.cachedPrefixes!.insert(createPrompt("a", "b"));
    const chosen = choices.chooseEngine(
      engines,
      createPrompt("a", "c"),
      context,
    );
    t.truthy(chosen);
    t.true(
      chosen!.engine.cachedPrefixes!.cachedTokens(createPrompt("a", "c")) ===
        10_000,
    );
  }
});

test("a prompt avoids the engine that has it cached if its backlog is long", (t) => {
  const [one, two] = [createEndpoint("1"), createEndpoint("2")];
  one.cachedPrefixes!.insert(createPrompt("a", "b"));
  one.backlog = 60_000;
  t.is(
    choices.chooseEngine([one, two], createPrompt("a", "c"), context)?.engine,
    two,
  );
});

test("all hosts prefer the same engine for an uncached shared part", (t) => {
  const engines = ["1", "2", "3", "4"].map((id) => createEndpoint(id));
  const preferred = cacheMisses.preferredEngineName(
    engines,
    createPrompt("a", "b"),
  );
  const reversed = cacheMisses.preferredEngineName(
    engines.toReversed(),
    createPrompt("a", "z"),
  );
  t.is(preferred, reversed);
});

test("consecutive failures eject an endpoint for increasing times", (t) => {
  const one = createEndpoint("1");
  for (let pos = 0; pos < 3; pos++) one.recordHealth("bad", 0);
  t.true(one.isEjected(400));
  t.false(one.isEjected(600));
  one.recordHealth("bad", 600);
  t.true(one.isEjected(1500));
  one.recordHealth("good", 1700);
  one.recordHealth("bad", 1700);
  t.false(one.isEjected(1800));
});

// Guards against calls that join a queue of seconds since its report is older
// than half a second.
test("a reported queue counts until the endpoint can have served it", (t) => {
  const one = createEndpoint("1");
  one.recordLoad({ running: 4, waiting: 36, slots: 4 }, 0);
  t.is(one.remainingLoad(0, 100), 40);
  t.is(one.remainingLoad(600, 100), 16);
  t.is(one.load(600), 0);
  one.inFlight = 3;
  t.is(one.remainingLoad(2000, 100), 3);
});

// Guards against an endpoint without calls for as long as one report names: its
// callers have left since, and only its own answers would say so.
test("a reported queue is forgotten after 3 s", (t) => {
  const one = createEndpoint("1");
  one.recordLoad({ running: 4, waiting: 1_000_000, slots: 4 }, 0);
  t.true(one.remainingLoad(3000, 100) > 900_000);
  t.is(one.remainingLoad(3001, 100), 0);
});
