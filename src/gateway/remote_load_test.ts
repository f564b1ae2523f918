/** @module */

import test from "ava";
import * as remoteLoads from "./remote_load.ts";

test("the last updates of all hosts are summed", (t) => {
  const load = remoteLoads.RemoteLoad.create();
  load.record("one", { tokens: 900, streams: 3 }, 0);
  load.record("one", { tokens: 100, streams: 2 }, 10);
  load.record("two", { tokens: 50, streams: 1 }, 10);
  t.deepEqual(load.total(20), { tokens: 150, streams: 3 });
});

test("the update of a host that stops sending expires", (t) => {
  const load = remoteLoads.RemoteLoad.create();
  load.record("gone", { tokens: 900, streams: 3 }, 0);
  load.record("there", { tokens: 50, streams: 1 }, 1000);
  t.deepEqual(load.total(2000), { tokens: 50, streams: 1 });
});
