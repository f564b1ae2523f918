/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as choice from "./choice.ts";
import * as endpoint from "./endpoint.ts";
import * as firstEvents from "./first_event.ts";
import * as lacks from "./lack.ts";
import * as promptMemory from "./prompt_memory.ts";

const random: runtime.Random = { next: () => 0, below: () => 0 };
const situation = { now: 0, random, dataCentre: "town" };

function endpointOf(id: string, change: Partial<endpoint.Identity> = {}) {
  const address = `10.0.0.1:${id}`;
  const place = { service: "s", address, dataCentre: "town", slots: 4 };
  const identity = { id, name: id, ...place };
  const memory = promptMemory.PromptMemory.create(100_000);
  const firstEvent = firstEvents.FirstEvent.create();
  const engine = { memory, firstEvent };
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
  t.is(choice.choosePlain([one, two], situation), two);
});

test("an endpoint that fails is avoided, though it answers fast", (t) => {
  const [one, two] = [endpointOf("1"), endpointOf("2")];
  for (let pos = 0; pos < 8; pos++) one.judge("bad", 0);
  one.time(5);
  two.time(50);
  t.is(choice.choosePlain([one, two], situation), two);
});

test("a prompt goes where its shared part was read", (t) => {
  const engines = ["1", "2", "3"].map((id) => endpointOf(id));
  for (const engine of engines) {
    engines.forEach((each) => each.memory!.read(promptOf("other", "x")));
    engine.memory!.read(promptOf("a", "b"));
    const chosen = choice.chooseEngine(engines, promptOf("a", "c"), situation);
    t.truthy(chosen);
    t.true(chosen!.engine.memory!.known(promptOf("a", "c")) === 10_000);
  }
});

test("a prompt leaves the engine that knows it when much waits there", (t) => {
  const [one, two] = [endpointOf("1"), endpointOf("2")];
  one.memory!.read(promptOf("a", "b"));
  one.backlog = 60_000;
  t.is(
    choice.chooseEngine([one, two], promptOf("a", "c"), situation)?.engine,
    two,
  );
});

test("prompts that nobody knows go to one engine from all hosts", (t) => {
  const engines = ["1", "2", "3", "4"].map((id) => endpointOf(id));
  const home = lacks.homeOf(engines, promptOf("a", "b"));
  const again = lacks.homeOf(engines.toReversed(), promptOf("a", "z"));
  t.is(home, again);
});

test("an endpoint rests after some failures in a row, ever longer", (t) => {
  const one = endpointOf("1");
  for (let pos = 0; pos < 3; pos++) one.judge("bad", 0);
  t.true(one.isResting(400));
  t.false(one.isResting(600));
  one.judge("bad", 600);
  t.true(one.isResting(1500));
  one.judge("good", 1700);
  one.judge("bad", 1700);
  t.false(one.isResting(1800));
});
