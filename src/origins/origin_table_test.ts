/** @module */

import test from "ava";
import * as origins from "./origin.ts";
import * as tables from "./origin_table.ts";

const LIFETIME = 1000;

function kept(version: string, change: Partial<origins.Origin> = {}) {
  const origin = { service: "models", version, host: "h", begunAt: 0 };
  return { origin: { ...origin, ...change }, lifetime: LIFETIME };
}

test("an origin is kept for its lifetime after each use", (t) => {
  const table = tables.OriginTable.create();
  t.true(table.put("a", kept("v1"), 0));
  t.false(table.put("a", kept("v1"), 10));
  t.deepEqual(table.get("a", 900), kept("v1"));
  t.deepEqual(table.get("a", 1800), kept("v1"));
  t.is(table.get("a", 2900), undefined);
  table.expire(2900);
  t.is(table.size, 0);
});

// Guards against streams of two versions: of two streams under one key, the
// second would be continued at the version of the first.
test("different origins of one stream are not used", (t) => {
  for (const other of [kept("v2"), kept("v1", { service: "other" })]) {
    const table = tables.OriginTable.create();
    table.put("a", kept("v1"), 0);
    table.put("a", other, 10);
    t.is(table.get("a", 20), "conflicting");
    table.put("a", kept("v1"), 30);
    t.is(table.get("a", 40), "conflicting");
  }
});

test("the streams used longest ago are evicted and counted", (t) => {
  const table = tables.OriginTable.create({ maxCount: 2 });
  for (const stream of ["a", "b"]) table.put(stream, kept("v1"), 0);
  table.get("a", 10);
  table.put("c", kept("v1"), 20);
  t.is(table.get("b", 30), undefined);
  t.deepEqual(table.get("a", 30), kept("v1"));
  t.is(table.evictedCount, 1);
});

test("streams of different accounts and routes have different keys", (t) => {
  const identities = [
    { attempt: "a", route: "r", account: "one" },
    { attempt: "a", route: "r", account: "two" },
    { attempt: "a", route: "r" },
    { attempt: "a", route: "s", account: "one" },
    { attempt: "b", route: "r", account: "one" },
  ];
  const keys = new Set(identities.map(origins.keyOf));
  t.is(keys.size, identities.length);
  t.is(origins.keyOf(identities[0]), origins.keyOf({ ...identities[0] }));
});
