/** @module */

import test from "ava";
import * as performances from "../performance/mod.ts";
import * as endpoints from "./endpoint.ts";
import * as firstEventLatencies from "./first_event_latency.ts";
import * as cacheMisses from "./cache_miss.ts";
import * as cachedPrefixes from "./cached_prefixes.ts";

const PROMPT = {
  model: "m",
  inputTokens: 11_000,
  outputTokens: 100,
  parts: [{ id: "shared", tokens: 10_000 }, { id: "own", tokens: 1000 }],
};
const SHARED = { parts: PROMPT.parts.slice(0, 1) };

function createEngine(
  id: string,
  { fetchRate, dataCentre = "town", version = "v1" }: {
    fetchRate?: number;
    dataCentre?: string;
    version?: string;
  } = {},
) {
  const place = { service: "s", address: `10.0.0.1:${id}`, dataCentre };
  const prefixes = cachedPrefixes.CachedPrefixes.create(100_000);
  const firstEventLatency = firstEventLatencies.FirstEventLatency.create();
  const eventGap = performances.MeanDuration.create();
  return endpoints.Endpoint.create(
    { id, name: id, ...place, version, slots: 4 },
    { cachedPrefixes: prefixes, firstEventLatency, eventGap, fetchRate },
  );
}

test("an engine fetches shared parts from the cache of another one", (t) => {
  const [one, two] = [
    createEngine("1"),
    createEngine("2", { fetchRate: 1000 }),
  ];
  one.cachedPrefixes!.insert(SHARED);
  const misses = cacheMisses.CacheMisses.of([one, two], PROMPT);
  t.deepEqual(misses.at(two), {
    prefillTokens: 1000,
    fetchTokens: 10_000,
    fetchTime: 10,
    source: one,
  });
  t.is(misses.at(one).prefillTokens, 1000);
  t.is(misses.at(one).source, undefined);
});

test("a fetch from another data centre takes twice as long", (t) => {
  const far = createEngine("1", { dataCentre: "hall" });
  const engine = createEngine("2", { fetchRate: 1000 });
  far.cachedPrefixes!.insert(SHARED);
  t.is(
    cacheMisses.CacheMisses.of([far, engine], PROMPT).at(engine).fetchTime,
    20,
  );
});

test("an engine that can't fetch prefills", (t) => {
  const [one, two] = [createEngine("1"), createEngine("2")];
  one.cachedPrefixes!.insert(SHARED);
  const miss = cacheMisses.CacheMisses.of([one, two], PROMPT).at(two);
  t.is(miss.source, undefined);
  t.true(miss.prefillTokens > 1000);
});

test("parts that no engine has cached are not fetched", (t) => {
  const engines = ["1", "2"].map((id) => createEngine(id, { fetchRate: 1000 }));
  const misses = cacheMisses.CacheMisses.of(engines, PROMPT);
  for (const engine of engines) {
    t.is(misses.at(engine).source, undefined);
  }
});

// Guards against engines that continue from a cache that another software version
// has written.
test("parts are fetched from engines of the same version alone", (t) => {
  const [engine, same, other] = [
    createEngine("1", { fetchRate: 1000 }),
    createEngine("2", { fetchRate: 1000 }),
    createEngine("3", { version: "v2" }),
  ];
  other.cachedPrefixes!.insert(SHARED);
  const engines = [engine, same, other];
  const miss = cacheMisses.CacheMisses.of(engines, PROMPT).at(engine);
  t.is(miss.source, undefined);
  t.is(miss.fetchTokens, 0);
  same.cachedPrefixes!.insert(SHARED);
  const misses = cacheMisses.CacheMisses.of(engines, PROMPT);
  t.is(misses.at(engine).source, same);
});
