import test from "ava";
import type * as schema from "../../schema/orders_types.ts";
import * as orders from "./mod.ts";

function createReport(changes: Partial<schema.Report> = {}): schema.Report {
  return { models: [], role: "both", token: 0, loading: false, ...changes };
}

function candidate(
  engine: string,
  changes: Partial<schema.Report> = {},
): orders.Candidate {
  return { engine, report: createReport(changes), fresh: true };
}

const V1 = { model: "m", adapter: null, version: "1" };
const V2 = { model: "m", adapter: null, version: "2" };

test("the desired version is loaded before the former one is unloaded", (t) => {
  const goal = { model: "m", version: "2" };
  const old = orders.plan(goal, [candidate("e1", { models: [V1] })]);
  t.like(old, [{ order: { type: "load", version: "2" } }]);
  const both = orders.plan(goal, [candidate("e1", { models: [V1, V2] })]);
  t.like(both, [{ order: { type: "unload", version: "1" } }]);
  const done = [candidate("e1", { models: [V2] })];
  t.deepEqual(orders.plan(goal, done), []);
});

test("engines with the model stay replicas, and surplus ones are unloaded last", (t) => {
  const goal = { model: "m", replicas: 1 };
  const there = candidate("e2", { models: [V1] });
  t.deepEqual(orders.plan(goal, [candidate("e1"), there]), []);
  const surplus = orders.plan(goal, [candidate("e1", { models: [V1] }), there]);
  t.like(surplus, [{ engine: "e2", order: { type: "unload" } }]);
  // An engine that does not answer still counts as the replica; the surplus one
  // is not unloaded, and no other one is loaded.
  const silent = { ...candidate("e1", { models: [V1] }), fresh: false };
  t.deepEqual(orders.plan(goal, [silent, there]), []);
  t.deepEqual(orders.plan(goal, [silent, candidate("e2")]), []);
});

test("no order is planned during a load or without a desired model", (t) => {
  const goal = { model: "m" };
  t.deepEqual(orders.plan(goal, [candidate("e1", { loading: true })]), []);
  t.deepEqual(orders.plan({}, [candidate("e1", { models: [V1] })]), []);
});
