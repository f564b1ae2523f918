/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as endpoints from "../endpoints/mod.ts";
import * as gateway from "./mod.ts";

const PARTS = [{ id: "shared", tokens: 6000 }, { id: "own", tokens: 100 }];
const PROMPT = {
  model: "m",
  inputTokens: 6100,
  outputTokens: 10,
  parts: PARTS,
};

const ROSTER_TIMES = { silenceTimeoutMs: 4000, retentionMs: 60_000 };

function createEntry(change: Partial<endpoints.RosterEntry>) {
  return fixture.entry({ service: "models", ...change });
}

/** A pool with one engine, and a function that updates its roster entry. */
function createPool(change: Partial<endpoints.RosterEntry>) {
  const pool = gateway.EndpointPool.create();
  const update = (next: Partial<endpoints.RosterEntry>) =>
    pool.update([createEntry(next)], createService({}));
  update(change);
  return { pool, update, engine: () => pool.endpointsOf("models")[0] };
}

test("no state of an engine survives its incarnation", (t) => {
  const { update, engine } = createPool({ born: 100 });
  const previous = engine();
  previous.cachedPrefixes!.insert(PROMPT);
  for (let count = 0; count < 3; count++) previous.recordHealth("bad", 10);
  previous.recordLoad({ running: 9, waiting: 9, slots: 4 }, 10);
  previous.remoteLoad.record("host", createLoad(previous.identity.id), 10);
  previous.coldUntil = 500;
  t.true(
    previous.isEjected(20) && previous.cachedPrefixes!.cachedTokens(PROMPT) > 0,
  );

  const [ended] = update({ born: 200 });
  const next = engine();
  t.like(ended, { identity: previous.identity, isRestarted: true });
  t.false(previous.isReady);
  t.is(next.cachedPrefixes!.cachedTokens(PROMPT), 0);
  t.false(next.isEjected(20));
  t.is(next.successRate, 1);
  t.is(next.load(20), 0);
  t.is(next.remoteLoad.total(20).tokens, 0);
  t.is(next.coldUntil, 0);
});

test("a load update for an earlier incarnation does not apply to the next", (t) => {
  const { pool, update, engine } = createPool({ born: 100 });
  const previous = engine().identity.id;
  update({ born: 200 });
  pool.recordRemoteLoad("host", [createLoad(previous)], 10);
  t.is(engine().remoteLoad.total(10).tokens, 0);
  t.is(engine().cachedPrefixes!.cachedTokens(PROMPT), 0);
});

// Guards against calls of a new process that are taken for those of the former one,
// and against the reverse at an address that the endpoint has left.
test("a successor counts from when it was first heard of, at the same address only", (t) => {
  const hear = (next: Partial<endpoints.EndpointStatus>) => {
    const pool = gateway.EndpointPool.create();
    const roster = endpoints.Roster.create(ROSTER_TIMES);
    const merge = (
      change: Partial<endpoints.EndpointStatus>,
      heardAt: number,
    ) => {
      const status = fixture.endpointStatus({ service: "models", ...change });
      roster.merge({ status, heardAt });
    };
    merge({ born: 100, sequence: 70 }, 0);
    pool.update(roster.entries, createService({}));
    merge({ born: 200, sequence: 1, ...next }, 1000);
    merge({ born: 200, sequence: 2, ...next }, 1300);
    return pool.update(roster.entries, createService({}));
  };
  t.like(hear({}), { 0: { isRestarted: true, successorSince: 1000 } });
  const [moved] = hear({ address: "10.9.9.9:80" });
  t.like(moved, { isRestarted: true, successorSince: undefined });
  const [replaced] = hear({ id: "i-2" });
  t.like(replaced, { isRestarted: false, successorSince: undefined });
});

// Guards against a restarted endpoint that hosts lose when messages of its former
// incarnation arrive late.
test("late messages of a former incarnation leave its successor in the pool", (t) => {
  const pool = gateway.EndpointPool.create();
  const roster = endpoints.Roster.create(ROSTER_TIMES);
  const hear = (change: Partial<endpoints.EndpointStatus>, heardAt: number) => {
    const status = fixture.endpointStatus({ service: "models", ...change });
    roster.merge({ status, heardAt });
    return pool.update(roster.entries, createService({}));
  };
  hear({ born: 100, sequence: 70 }, 0);
  const [former] = hear({ born: 200, sequence: 1 }, 1000);
  t.like(former, { identity: { id: "i-1~100" }, isRestarted: true });
  t.deepEqual(hear({ born: 100, sequence: 71 }, 1100), []);
  t.deepEqual(hear({ born: 100, sequence: 72, state: "draining" }, 1200), []);
  t.deepEqual(hear({ born: 100, address: "10.9.9.9:80" }, 1300), []);
  roster.recordLeave({ id: "i-1", born: 100 }, 1400);
  t.deepEqual(pool.update(roster.entries, createService({})), []);
  t.deepEqual(
    pool.usable("models", 1500).map(({ identity }) => identity.id),
    ["i-1~200"],
  );
  t.is(pool.at("10.0.0.1:80")?.identity.id, "i-1~200");
  roster.recordLeave({ id: "i-1", born: 200 }, 1600);
  t.is(pool.update(roster.entries, createService({})).length, 1);
});

test("an engine that restarts keeps the name that calls are addressed to", (t) => {
  const { update, engine } = createPool({ born: 100 });
  const { id, name } = engine().identity;
  update({ born: 200 });
  t.is(engine().identity.name, name);
  t.not(engine().identity.id, id);
});

// Guards against an engine that is known before the configuration and stays an
// endpoint without prompts: its first events were predicted as early as those
// of an idle engine, and one of 55 engines received a fifth of all streams.
test("an endpoint known before its service becomes an engine with the service", (t) => {
  const pool = gateway.EndpointPool.create();
  const entries = [1, 2].map((number) =>
    createEntry({ id: `i-${number}`, address: `10.0.0.${number}:80` })
  );
  pool.update(entries.slice(0, 1), () => undefined);
  const [early] = pool.endpointsOf("models");
  t.is(early.cachedPrefixes, undefined);

  pool.update(entries, createService({ fetchRate: 2000 }));
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

test("an engine follows changes of its service and keeps its prefix cache", (t) => {
  const pool = gateway.EndpointPool.create();
  pool.update([createEntry({})], createService({ fetchRate: 2000 }));
  const [engine] = pool.endpointsOf("models");
  engine.cachedPrefixes!.insert(PROMPT);
  pool.update([createEntry({})], createService({ fetchRate: 500 }));
  t.is(engine.fetchRate, 500);
  t.is(engine.cachedPrefixes!.cachedTokens(PROMPT), 6100);

  pool.update([createEntry({})], createService({ tokens: 1000 }));
  t.is(engine.cachedPrefixes!.cachedTokens(PROMPT), 0);
  t.is(engine.fetchRate, undefined);
});

test("an endpoint whose service no longer serves prompts is not an engine", (t) => {
  const pool = gateway.EndpointPool.create();
  pool.update([createEntry({})], createService({}));
  const plain = { name: "models", connections: 10 };
  pool.update([createEntry({})], () => plain);
  t.is(pool.endpointsOf("models")[0].cachedPrefixes, undefined);
});

test("an engine whose service is removed from the configuration keeps its state", (t) => {
  const pool = gateway.EndpointPool.create();
  pool.update([createEntry({})], createService({}));
  pool.update([createEntry({})], () => undefined);
  t.not(pool.endpointsOf("models")[0].cachedPrefixes, undefined);
});

// Guards against connections that are closed, and knowledge that is lost, because
// a sound endpoint sent no heartbeats for a while.
test("an endpoint without heartbeats is not ended and keeps its state", (t) => {
  const { update, engine } = createPool({ born: 100 });
  const known = engine();
  known.cachedPrefixes!.insert(PROMPT);
  t.deepEqual(update({ born: 100, isSilent: true }), []);
  t.is(engine(), known);
  t.true(known.isAccepting(10));
  t.false(known.isAlive(10));
  known.recordHealth("good", 10);
  t.true(known.isAlive(4000));
  t.deepEqual(update({ born: 100, isSilent: false }), []);
  t.is(engine(), known);
  t.is(known.cachedPrefixes!.cachedTokens(PROMPT), 6100);
});

test("an engine that has left does not count as restarted", (t) => {
  const { update } = createPool({ born: 100 });
  const [ended] = update({ state: "gone", born: 100 });
  t.false(ended.isRestarted);
});

/** Looks up a service of engines with the given values. */
function createService(figures: { tokens?: number; fetchRate?: number }) {
  const engine = { slots: 4, tokens: 100_000, ...figures };
  return () => ({ name: "models", connections: 10, engine });
}

function createLoad(engine: string) {
  return { engine, tokens: 5000, streams: 3, read: [PARTS] };
}

const NOT_RESTORED = { returned: [], now: 0 };

test("endpoints of an evacuated data centre are not usable", (t) => {
  const pool = gateway.EndpointPool.create();
  const entries = ["town", "hall"].map((dataCentre) =>
    createEntry({ id: dataCentre, address: `${dataCentre}:80`, dataCentre })
  );
  const usable = () =>
    pool.usable("models", 0).map(({ identity }) => identity.name);
  pool.update(entries.slice(0, 1), createService({}));
  pool.setEvacuated(["hall"], NOT_RESTORED);
  pool.update(entries, createService({}));
  t.deepEqual(usable(), ["town"], "also an endpoint that is added later");
  pool.setEvacuated(["hall", "town"], NOT_RESTORED);
  t.deepEqual(usable(), [], "also if there is no other");
  t.false(pool.endpointsOf("models")[0].isHealthy(0));
  pool.setEvacuated([], NOT_RESTORED);
  t.deepEqual(usable(), ["town", "hall"]);
});

test("endpoints of a data centre returned to service count as cold", (t) => {
  const pool = gateway.EndpointPool.create();
  const cold = { time: 3000, rate: 5 };
  const entries = ["town", "hall"].map((dataCentre) =>
    createEntry({ id: dataCentre, address: `${dataCentre}:80`, dataCentre })
  );
  pool.update(entries, () => ({ name: "models", connections: 9, cold }));
  pool.setEvacuated([], { returned: ["hall"], now: 1000 });
  const ratesAt = (now: number) =>
    pool.endpointsOf("models").map((each) => each.coldRate(now));
  t.deepEqual(ratesAt(1500), [undefined, 5]);
  t.deepEqual(ratesAt(4100), [undefined, undefined]);
});

test("an endpoint is cold for as long as it reports", (t) => {
  const { update, engine } = createPool({ coldUntil: 700 });
  const cold = { time: 3000, rate: 5 };
  engine().cold = cold;
  t.is(engine().coldRate(600), 5);
  t.is(engine().coldRate(800), undefined);
  update({ coldUntil: 2000 });
  engine().cold = cold;
  t.is(engine().coldRate(800), 5);
});

// Guards against calls to endpoints whose answers announce their departure while
// the roster lists them as ready.
test("an endpoint that announced its departure is not usable", (t) => {
  const pool = gateway.EndpointPool.create();
  const entries = [1, 2].map((number) =>
    createEntry({ id: `i-${number}`, address: `10.0.0.${number}:80` })
  );
  const update = () => pool.update(entries, createService({}));
  const usable = () =>
    pool.usable("models", 10).map(({ identity }) => identity.name);
  update();
  const [leaving, other] = pool.endpointsOf("models");
  leaving.announcements.recordLeaving(0);
  update();
  t.deepEqual(usable(), ["i-2"], "the roster does not take it back");
  t.false(leaving.isHealthy(10));
  other.recordHealth("bad", 5);
  other.isSilent = true;
  t.deepEqual(usable(), ["i-2"], "also if the other one is not healthy");
  other.announcements.recordLeaving(5);
  t.deepEqual(usable(), [], "also if there is no other");
});

test("a departure outlives an outdated roster that omits and lists the endpoint", (t) => {
  const { pool, update, engine } = createPool({ born: 100 });
  engine().announcements.recordLeaving(0);
  update({ born: 100, state: "gone" });
  t.deepEqual(pool.endpointsOf("models"), []);
  update({ born: 100 });
  t.true(engine().announcements.isLeaving(10));
  update({ born: 200 });
  t.false(engine().announcements.isLeaving(10), "the next incarnation stays");
});

/** A pool before a configuration with the service `models`, and those in
 * `services`. */
function createPoolOfServices(services = new Set(["models"])) {
  const pool = gateway.EndpointPool.create();
  const update = (...entries: Partial<endpoints.RosterEntry>[]) =>
    pool.update(
      entries.map(createEntry),
      (name) => services.has(name) ? { name, connections: 10 } : undefined,
    );
  const usable = (service = "models") =>
    pool.usable(service, 0).map(({ identity }) => identity.id);
  return { pool, update, usable, services };
}

// Guards against an endpoint in use that hosts end because another writer sends
// heartbeats with its address.
test("an unknown service does not hide the endpoint at its address", (t) => {
  const { pool, update, usable } = createPoolOfServices();
  const own = { heardAt: 0 };
  const foreign = { id: "x", service: "unknown", heardAt: 500 };
  update(own);
  const [known] = pool.endpointsOf("models");
  t.deepEqual(update(own, foreign), []);
  t.deepEqual(update(foreign, own), []);
  t.is(pool.endpointsOf("models")[0], known);
  t.is(pool.at("10.0.0.1:80"), known);
  t.deepEqual(usable(), ["i-1"]);
});

test("an address may be reused by an endpoint of another known service", (t) => {
  const { update, usable, services } = createPoolOfServices();
  const former = { heardAt: 0 };
  const next = { id: "i-2", service: "map", heardAt: 500 };
  update(former);
  update(former, next);
  t.deepEqual(usable(), ["i-1"], "the other service is not known yet");
  services.add("map");
  const [ended] = update(former, next);
  t.like(ended, { identity: { id: "i-1" }, isRestarted: false });
  t.deepEqual([usable(), usable("map")], [[], ["i-2"]]);
});

// Guards against an endpoint that stays hidden after another writer's heartbeat
// under its id had come first.
test("a known service replaces an unknown one of the same incarnation", (t) => {
  const { pool, update, usable } = createPoolOfServices();
  update({ service: "unknown", born: 1, address: "10.9.9.9:80" });
  const [ended] = update({ born: 1 });
  t.is(ended.identity.service, "unknown");
  t.deepEqual(usable(), ["i-1~1"]);
  t.is(pool.at("10.9.9.9:80"), undefined);
  t.is(pool.at("10.0.0.1:80")?.identity.service, "models");
});

test("an endpoint whose service leaves the configuration keeps its place", (t) => {
  const { pool, update, services } = createPoolOfServices();
  update({ born: 1 });
  const [known] = pool.endpointsOf("models");
  services.delete("models");
  t.deepEqual(update({ born: 1 }), []);
  t.is(pool.endpointsOf("models")[0], known);
});

/** A pool with a fast and a slow endpoint, after 20 calls at each. */
function createUnevenPool(options: gateway.PoolOptions = {}) {
  const pool = gateway.EndpointPool.create(options);
  const entries = ["fast", "slow"].map((id) =>
    createEntry({ id, address: id, born: 100 })
  );
  pool.update(entries, createService({}));
  const [fast, slow] = pool.endpointsOf("models");
  for (let at = -19_000; at <= 0; at += 1000) {
    fast.recordSlowness(0.5, at);
    slow.recordSlowness(2, at);
  }
  return { pool, entries, fast, slow };
}

test("the endpoints of a service are compared with each other", (t) => {
  const { fast, slow } = createUnevenPool();
  t.true(fast.lastingSlowness(0) < 0.6);
  t.true(slow.lastingSlowness(0) > 1.7);
  const load = { running: 1, waiting: 0, slots: 2, slowness: 4 };
  slow.recordAnnouncedSlowness(load, 0);
  t.true(slow.slowness(0) > 6);
});

test("no slowness is used where the part is turned off", (t) => {
  const { slow } = createUnevenPool({ isPerformanceEnabled: false });
  t.is(slow.slowness(0), 1);
});

// Guards against calls in flight that bring back an ended incarnation.
test("slowness ends with the incarnation", (t) => {
  const { pool, entries, fast, slow } = createUnevenPool();
  const restarted = [entries[0], { ...entries[1], born: 200 }];
  pool.update(restarted, createService({}));
  slow.recordSlowness(2, 0);
  t.is(fast.slowness(0), 1);
  t.is(slow.slowness(0), 1);
  const reported = pool.performances.get("models")!.takeReports();
  t.deepEqual(reported.map(({ endpoint }) => endpoint), [fast.identity.id]);
});

test("a cold endpoint gives no observations", (t) => {
  const { pool, fast } = createUnevenPool();
  pool.performances.get("models")!.takeReports();
  fast.cold = { time: 1000, rate: 1 };
  fast.assumeCold(0);
  fast.recordSlowness(4, 10);
  t.deepEqual(pool.performances.get("models")!.takeReports(), []);
});
