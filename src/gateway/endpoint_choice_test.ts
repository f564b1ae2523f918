/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as choice from "./endpoint_choice.ts";
import * as endpoint from "./endpoint.ts";
import * as firstEvents from "./first_event_latency.ts";
import * as lacks from "./cache_miss.ts";
import * as promptMemory from "./cached_prefixes.ts";

const random: runtime.Random = { next: () => 0, below: () => 0 };
const situation = { now: 0, random, dataCentre: "town" };

function endpointOf(id: string, change: Partial<endpoint.Identity> = {}) {
  const address = `10.0.0.1:${id}`;
  const place = { service: "s", address, dataCentre: "town", slots: 4 };
  const identity = { id, name: id, ...place };
  const memory = promptMemory.CachedPrefixes.create(100_000);
  const firstEvent = firstEvents.FirstEventLatency.create();
  const engine = { cachedPrefixes: memory, firstEventLatency: firstEvent };
  return endpoint.Endpoint.create({ ...identity, ...change }, engine);
}

function promptOf(shared: string, own: string) {
  return {
    model: "m",
    inputTokens: 11_000,
    outputTokens: 100,
    parts: [{ id: shared, tokens: 10_000 }, { id: own, tokens: 1000 }],
  };
}

test("a plain call goes to the endpoint with the least to do", (t) => {
  const [one, two] = [endpointOf("1"), endpointOf("2")];
  one.inFlight = 3;
  t.is(choice.chooseEndpoint([one, two], situation), two);
});

test("an endpoint that fails is avoided, though it answers fast", (t) => {
  const [one, two] = [endpointOf("1"), endpointOf("2")];
  for (let pos = 0; pos < 8; pos++) one.recordHealth("bad", 0);
  one.recordDuration(5);
  two.recordDuration(50);
  t.is(choice.chooseEndpoint([one, two], situation), two);
});

test("a prompt goes where its shared part was read", (t) => {
  const engines = ["1", "2", "3"].map((id) => endpointOf(id));
  for (const engine of engines) {
    engines.forEach((each) =>
      each.cachedPrefixes!.insert(promptOf("other", "x"))
    );
    engine.cachedPrefixes!.insert(promptOf("a", "b"));
    const chosen = choice.chooseEngine(engines, promptOf("a", "c"), situation);
    t.truthy(chosen);
    t.true(
      chosen!.engine.cachedPrefixes!.cachedTokens(promptOf("a", "c")) ===
        10_000,
    );
  }
});

test("a prompt leaves the engine that knows it when much waits there", (t) => {
  const [one, two] = [endpointOf("1"), endpointOf("2")];
  one.cachedPrefixes!.insert(promptOf("a", "b"));
  one.backlog = 60_000;
  t.is(
    choice.chooseEngine([one, two], promptOf("a", "c"), situation)?.engine,
    two,
  );
});

test("prompts that nobody knows go to one engine from all hosts", (t) => {
  const engines = ["1", "2", "3", "4"].map((id) => endpointOf(id));
  const home = lacks.preferredEngineName(engines, promptOf("a", "b"));
  const again = lacks.preferredEngineName(
    engines.toReversed(),
    promptOf("a", "z"),
  );
  t.is(home, again);
});

test("an endpoint rests after some failures in a row, ever longer", (t) => {
  const one = endpointOf("1");
  for (let pos = 0; pos < 3; pos++) one.recordHealth("bad", 0);
  t.true(one.isEjected(400));
  t.false(one.isEjected(600));
  one.recordHealth("bad", 600);
  t.true(one.isEjected(1500));
  one.recordHealth("good", 1700);
  one.recordHealth("bad", 1700);
  t.false(one.isEjected(1800));
});
