/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import type * as endpoints from "../endpoints/mod.ts";
import * as gateway from "./mod.ts";

const PARTS = [{ id: "shared", tokens: 6000 }, { id: "own", tokens: 100 }];
const PROMPT = {
  model: "m",
  inputTokens: 6100,
  outputTokens: 10,
  parts: PARTS,
};

function entryOf(change: Partial<endpoints.RosterEntry>) {
  return fixture.entry({ service: "models", ...change });
}

/** A pool that follows what is told of one engine. */
function poolOf(change: Partial<endpoints.RosterEntry>) {
  const pool = gateway.EndpointPool.create();
  const follow = (next: Partial<endpoints.RosterEntry>) =>
    pool.update([entryOf(next)], serviceOf({}));
  follow(change);
  return { pool, follow, engine: () => pool.endpointsOf("models")[0] };
}

test("nothing that is believed of an engine outlives it", (t) => {
  const { follow, engine } = poolOf({ born: 100 });
  const former = engine();
  former.cachedPrefixes!.insert(PROMPT);
  for (let count = 0; count < 3; count++) former.recordHealth("bad", 10);
  former.recordLoad({ running: 9, waiting: 9, slots: 4 }, 10);
  former.remoteLoad.record("host", useOf(former.identity.id), 10);
  former.coldUntil = 500;
  t.true(
    former.isEjected(20) && former.cachedPrefixes!.cachedTokens(PROMPT) > 0,
  );

  const [ended] = follow({ born: 200 });
  const next = engine();
  t.like(ended, { identity: former.identity, isRestarted: true });
  t.false(former.isReady);
  t.is(next.cachedPrefixes!.cachedTokens(PROMPT), 0);
  t.false(next.isEjected(20));
  t.is(next.successRate, 1);
  t.is(next.load(20), 0);
  t.is(next.remoteLoad.total(20).tokens, 0);
  t.is(next.coldUntil, 0);
});

test("what another host says of a former incarnation is not taken for the next", (t) => {
  const { pool, follow, engine } = poolOf({ born: 100 });
  const former = engine().identity.id;
  follow({ born: 200 });
  pool.recordRemoteLoad("host", [useOf(former)], 10);
  t.is(engine().remoteLoad.total(10).tokens, 0);
  t.is(engine().cachedPrefixes!.cachedTokens(PROMPT), 0);
});

test("an engine that starts again keeps the name that calls are meant for", (t) => {
  const { follow, engine } = poolOf({ born: 100 });
  const { id, name } = engine().identity;
  follow({ born: 200 });
  t.is(engine().identity.name, name);
  t.not(engine().identity.id, id);
});

// What was seen: an engine that was heard before the configuration stayed an
// endpoint of unknown kind until it ended, whose first events were expected as
// early as those of an idle one; a fifth of all streams went to one of 55.
test("an engine that is heard before its service is known becomes one once it is", (t) => {
  const pool = gateway.EndpointPool.create();
  const entries = [1, 2].map((number) =>
    entryOf({ id: `i-${number}`, address: `10.0.0.${number}:80` })
  );
  pool.update(entries.slice(0, 1), () => undefined);
  const [early] = pool.endpointsOf("models");
  t.is(early.cachedPrefixes, undefined);

  pool.update(entries, serviceOf({ fetchRate: 2000 }));
  const [known, other] = pool.endpointsOf("models");
  t.is(known, early);
  t.is(known.fetchRate, 2000);
  known.cachedPrefixes!.insert(PROMPT);
  t.is(known.cachedPrefixes!.cachedTokens(PROMPT), 6100);
  const work = { tokens: 6000, streams: 1 };
  for (let now = 0; now < 20; now++) {
    other.recordFirstEvent(work, { took: 900, now });
  }
  t.is(known.predictFirstEvent(6000, 20), other.predictFirstEvent(6000, 20));
});

test("an engine follows its service's figures, and keeps what it has read", (t) => {
  const pool = gateway.EndpointPool.create();
  pool.update([entryOf({})], serviceOf({ fetchRate: 2000 }));
  const [engine] = pool.endpointsOf("models");
  engine.cachedPrefixes!.insert(PROMPT);
  pool.update([entryOf({})], serviceOf({ fetchRate: 500 }));
  t.is(engine.fetchRate, 500);
  t.is(engine.cachedPrefixes!.cachedTokens(PROMPT), 6100);

  pool.update([entryOf({})], serviceOf({ tokens: 1000 }));
  t.is(engine.cachedPrefixes!.cachedTokens(PROMPT), 0);
  t.is(engine.fetchRate, undefined);
});

test("an endpoint whose service is no engine any more is a plain one", (t) => {
  const pool = gateway.EndpointPool.create();
  pool.update([entryOf({})], serviceOf({}));
  const plain = { name: "models", connections: 10 };
  pool.update([entryOf({})], () => plain);
  t.is(pool.endpointsOf("models")[0].cachedPrefixes, undefined);
});

test("an engine whose service is dropped from the configuration keeps its figures", (t) => {
  const pool = gateway.EndpointPool.create();
  pool.update([entryOf({})], serviceOf({}));
  pool.update([entryOf({})], () => undefined);
  t.not(pool.endpointsOf("models")[0].cachedPrefixes, undefined);
});

test("an engine that has left is not one that started again", (t) => {
  const { follow } = poolOf({ born: 100 });
  const [ended] = follow({ state: "gone", born: 100 });
  t.false(ended.isRestarted);
});

/** Tells of a service of engines with some figures. */
function serviceOf(figures: { tokens?: number; fetchRate?: number }) {
  const engine = { slots: 4, tokens: 100_000, ...figures };
  return () => ({ name: "models", connections: 10, engine });
}

function useOf(engine: string) {
  return { engine, tokens: 5000, streams: 3, read: [PARTS] };
}

const CALM = { returned: [], now: 0 };

test("nothing new goes to endpoints of an evacuated data centre", (t) => {
  const pool = gateway.EndpointPool.create();
  const entries = ["town", "hall"].map((dataCentre) =>
    entryOf({ id: dataCentre, address: `${dataCentre}:80`, dataCentre })
  );
  const usable = () =>
    pool.usable("models", 0).map(({ identity }) => identity.name);
  pool.update(entries.slice(0, 1), serviceOf({}));
  pool.setEvacuated(["hall"], CALM);
  pool.update(entries, serviceOf({}));
  t.deepEqual(usable(), ["town"], "also of one that is heard of later");
  pool.setEvacuated(["hall", "town"], CALM);
  t.deepEqual(usable(), [], "also where there is no other");
  t.false(pool.endpointsOf("models")[0].isHealthy(0));
  pool.setEvacuated([], CALM);
  t.deepEqual(usable(), ["town", "hall"]);
});

test("endpoints of a data centre that is taken back may be cold", (t) => {
  const pool = gateway.EndpointPool.create();
  const cold = { time: 3000, rate: 5 };
  const entries = ["town", "hall"].map((dataCentre) =>
    entryOf({ id: dataCentre, address: `${dataCentre}:80`, dataCentre })
  );
  pool.update(entries, () => ({ name: "models", connections: 9, cold }));
  pool.setEvacuated([], { returned: ["hall"], now: 1000 });
  const ratesAt = (now: number) =>
    pool.endpointsOf("models").map((each) => each.coldRate(now));
  t.deepEqual(ratesAt(1500), [undefined, 5]);
  t.deepEqual(ratesAt(4100), [undefined, undefined]);
});

test("an endpoint is cold for as long as it has said", (t) => {
  const { follow, engine } = poolOf({ coldUntil: 700 });
  const cold = { time: 3000, rate: 5 };
  engine().cold = cold;
  t.is(engine().coldRate(600), 5);
  t.is(engine().coldRate(800), undefined);
  follow({ coldUntil: 2000 });
  engine().cold = cold;
  t.is(engine().coldRate(800), 5);
});
