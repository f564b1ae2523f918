/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as choice from "./endpoint_choice.ts";
import * as endpoint from "./endpoint.ts";
import * as firstEvents from "./first_event_latency.ts";
import * as pools from "./endpoint_pool.ts";
import * as promptMemory from "./cached_prefixes.ts";
import * as loadGossips from "./load_updates.ts";

const random: runtime.Random = { next: () => 0, below: () => 0 };
const PROMPT = {
  model: "m",
  inputTokens: 6000,
  outputTokens: 100,
  parts: [{ id: "shared", tokens: 5000 }, { id: "own", tokens: 1000 }],
};

function engineOf(id: string): endpoint.Endpoint {
  const address = `10.0.0.1:${id}`;
  const place = { service: "s", address, dataCentre: "town", slots: 4 };
  const identity = { id, name: id, ...place };
  const memory = promptMemory.CachedPrefixes.create(100_000);
  const firstEvent = firstEvents.FirstEventLatency.create();
  return endpoint.Endpoint.create(identity, {
    cachedPrefixes: memory,
    firstEventLatency: firstEvent,
  });
}

function gossipOf() {
  const clock = new runtime.FakeClock();
  const told: schema.EngineUse[][] = [];
  const tell = (uses: schema.EngineUse[]) => void told.push(uses);
  return {
    clock,
    told,
    gossip: loadGossips.LoadUpdates.create({ clock, send: tell }),
  };
}

test("what happens close together is told at once, without own parts", (t) => {
  const { clock, told, gossip } = gossipOf();
  const [one, two] = [engineOf("1"), engineOf("2")];
  one.backlog = 6000;
  one.inFlight = 1;
  gossip.record(one, { prompt: PROMPT });
  gossip.record(two);
  clock.advance(30);
  t.deepEqual(told, [[
    {
      engine: "1",
      tokens: 6000,
      streams: 1,
      read: [[{ id: "shared", tokens: 5000 }]],
    },
    { engine: "2", tokens: 0, streams: 0, read: [] },
  ]]);
});

test("use that goes on is told again, and ended use is not", (t) => {
  const { clock, told, gossip } = gossipOf();
  const engine = engineOf("1");
  engine.inFlight = 1;
  gossip.record(engine);
  clock.advance(1700);
  t.true(told.length >= 3);
  engine.inFlight = 0;
  gossip.record(engine);
  clock.advance(1000);
  const count = told.length;
  clock.advance(5000);
  t.is(told.length, count);
});

test("a prompt avoids the engine that other hosts load", (t) => {
  const pool = pools.EndpointPool.create();
  const place = { service: "s", slots: 64 };
  pool.update(
    ["1", "2"].map((id) =>
      fixture.entry({ id, address: `10.0.0.1:${id}`, ...place })
    ),
    (name) => ({
      name,
      connections: 1,
      engine: { slots: 64, tokens: 100_000 },
    }),
  );
  const engines = pool.endpointsOf("s");
  const situation = { now: 0, random, dataCentre: "town" };
  const chosen = choice.chooseEngine(engines, PROMPT, situation)!.engine;
  const { id } = chosen.identity;
  const use = { engine: id, tokens: 60_000, streams: 9, read: [] };
  pool.recordRemoteLoad("other", [use], 0);
  t.not(choice.chooseEngine(engines, PROMPT, situation)!.engine, chosen);
});
