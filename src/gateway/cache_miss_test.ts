/** @module */

import test from "ava";
import * as endpoints from "./endpoint.ts";
import * as firstEvents from "./first_event_latency.ts";
import * as lacks from "./cache_miss.ts";
import * as promptMemory from "./cached_prefixes.ts";

const PROMPT = {
  model: "m",
  inputTokens: 11_000,
  outputTokens: 100,
  parts: [{ id: "shared", tokens: 10_000 }, { id: "own", tokens: 1000 }],
};
const SHARED = { parts: PROMPT.parts.slice(0, 1) };

function engineOf(
  id: string,
  { fetchRate, dataCentre = "town" }: {
    fetchRate?: number;
    dataCentre?: string;
  } = {},
) {
  const place = { service: "s", address: `10.0.0.1:${id}`, dataCentre };
  const memory = promptMemory.CachedPrefixes.create(100_000);
  const firstEvent = firstEvents.FirstEventLatency.create();
  return endpoints.Endpoint.create(
    { id, name: id, ...place, slots: 4 },
    { cachedPrefixes: memory, firstEventLatency: firstEvent, fetchRate },
  );
}

test("an engine fetches shared parts that another one has read", (t) => {
  const [one, two] = [engineOf("1"), engineOf("2", { fetchRate: 1000 })];
  one.cachedPrefixes!.insert(SHARED);
  const lacking = lacks.CacheMisses.of([one, two], PROMPT);
  t.deepEqual(lacking.at(two), {
    prefillTokens: 1000,
    fetchTokens: 10_000,
    fetchTime: 10,
    source: one,
  });
  t.is(lacking.at(one).prefillTokens, 1000);
  t.is(lacking.at(one).source, undefined);
});

test("a fetch from another data centre takes twice as long", (t) => {
  const far = engineOf("1", { dataCentre: "hall" });
  const engine = engineOf("2", { fetchRate: 1000 });
  far.cachedPrefixes!.insert(SHARED);
  t.is(lacks.CacheMisses.of([far, engine], PROMPT).at(engine).fetchTime, 20);
});

test("an engine that can't fetch reads", (t) => {
  const [one, two] = [engineOf("1"), engineOf("2")];
  one.cachedPrefixes!.insert(SHARED);
  const lack = lacks.CacheMisses.of([one, two], PROMPT).at(two);
  t.is(lack.source, undefined);
  t.true(lack.prefillTokens > 1000);
});

test("what nobody has read is fetched from nobody", (t) => {
  const engines = ["1", "2"].map((id) => engineOf(id, { fetchRate: 1000 }));
  const lacking = lacks.CacheMisses.of(engines, PROMPT);
  for (const engine of engines) {
    t.is(lacking.at(engine).source, undefined);
  }
});
