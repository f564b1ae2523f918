/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as performances from "../performance/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as choices from "./endpoint_choice.ts";
import * as endpoints from "./endpoint.ts";
import * as firstEventLatencies from "./first_event_latency.ts";
import * as endpointPools from "./endpoint_pool.ts";
import * as cachedPrefixes from "./cached_prefixes.ts";
import * as loadUpdates from "./load_updates.ts";

const random: runtime.Random = { next: () => 0, below: () => 0 };
const PROMPT = {
  model: "m",
  inputTokens: 6000,
  outputTokens: 100,
  parts: [{ id: "shared", tokens: 5000 }, { id: "own", tokens: 1000 }],
};

function createEngine(id: string): endpoints.Endpoint {
  const address = `10.0.0.1:${id}`;
  const place = { service: "s", address, dataCentre: "town", slots: 4 };
  const identity = { id, name: id, version: "v1", ...place };
  const prefixes = cachedPrefixes.CachedPrefixes.create(100_000);
  const firstEventLatency = firstEventLatencies.FirstEventLatency.create();
  return endpoints.Endpoint.create(identity, {
    cachedPrefixes: prefixes,
    firstEventLatency,
    eventGap: performances.MeanDuration.create(),
  });
}

function createUpdates() {
  const clock = new runtime.FakeClock();
  const sent: schema.EngineUse[][] = [];
  const send = (loads: schema.EngineUse[]) => void sent.push(loads);
  return {
    clock,
    sent,
    updates: loadUpdates.LoadUpdates.create({ clock, send }),
  };
}

test("changes in quick succession are sent together, without unshared parts", (t) => {
  const { clock, sent, updates } = createUpdates();
  const [one, two] = [createEngine("1"), createEngine("2")];
  one.backlog = 6000;
  one.inFlight = 1;
  updates.record(one, { prompt: PROMPT });
  updates.record(two);
  clock.advance(30);
  t.deepEqual(sent, [[
    {
      engine: "1",
      tokens: 6000,
      streams: 1,
      read: [[{ id: "shared", tokens: 5000 }]],
    },
    { engine: "2", tokens: 0, streams: 0, read: [] },
  ]]);
});

test("load is sent again while it lasts and not after it has ended", (t) => {
  const { clock, sent, updates } = createUpdates();
  const engine = createEngine("1");
  engine.inFlight = 1;
  updates.record(engine);
  clock.advance(1700);
  t.true(sent.length >= 3);
  engine.inFlight = 0;
  updates.record(engine);
  clock.advance(1000);
  const count = sent.length;
  clock.advance(5000);
  t.is(sent.length, count);
});

test("a prompt avoids an engine under load from other hosts", (t) => {
  const pool = endpointPools.EndpointPool.create();
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
  const chosen = choices.chooseEngine(engines, PROMPT, situation)!.engine;
  const { id } = chosen.identity;
  const use = { engine: id, tokens: 60_000, streams: 9, read: [] };
  pool.recordRemoteLoad("other", [use], 0);
  t.not(choices.chooseEngine(engines, PROMPT, situation)!.engine, chosen);
});
