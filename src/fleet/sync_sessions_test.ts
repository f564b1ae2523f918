/** @module */

import test from "ava";
import * as followers from "./sync_sessions.ts";

test("a host follows for as long as it asks", (t) => {
  const list = followers.SyncSessions.create();
  list.record("a", { now: 0, orders: 0 });
  list.record("b", { now: 2000, orders: 0 });
  t.deepEqual(list.live(3000), ["a", "b"]);
  list.record("a", { now: 3000, orders: 0 });
  t.deepEqual(list.live(5500), ["a"]);
  t.deepEqual(list.live(6001), []);
});

test("a host is behind until it holds the last order", (t) => {
  const list = followers.SyncSessions.create();
  list.record("a", { now: 0, orders: 1 });
  list.record("b", { now: 0, orders: 2 });
  t.deepEqual(list.behind(2, 100), ["a"]);
  list.record("a", { now: 600, orders: 2 });
  t.deepEqual(list.behind(2, 700), []);
});
