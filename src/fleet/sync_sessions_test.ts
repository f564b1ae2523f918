/** @module */

import test from "ava";
import * as syncSessions from "./sync_sessions.ts";

test("a session lasts as long as the host sends sync requests", (t) => {
  const sessions = syncSessions.SyncSessions.create();
  sessions.record("a", { now: 0, totalRevision: 0 });
  sessions.record("b", { now: 2000, totalRevision: 0 });
  t.deepEqual(sessions.live(3000), ["a", "b"]);
  sessions.record("a", { now: 3000, totalRevision: 0 });
  t.deepEqual(sessions.live(5500), ["a"]);
  t.deepEqual(sessions.live(6001), []);
});

test("a host is behind until it has the latest command", (t) => {
  const sessions = syncSessions.SyncSessions.create();
  sessions.record("a", { now: 0, totalRevision: 1 });
  sessions.record("b", { now: 0, totalRevision: 2 });
  t.deepEqual(sessions.behind(2, 100), ["a"]);
  sessions.record("a", { now: 600, totalRevision: 2 });
  t.deepEqual(sessions.behind(2, 700), []);
});
