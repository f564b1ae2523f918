/** @module */

import test from "ava";
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
  const engine = { cachedPrefixes: prefixes, firstEventLatency };
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
