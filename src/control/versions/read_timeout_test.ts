/** Guards against reads at a leader without a majority that last for longer than
 * their timeout: an entry host that had waited for 900 ms in place of 350 asked
 * another control host too late.
 * @module */

import test from "ava";
import * as fakeCluster from "./fake_cluster.ts";

const NAMES = ["a", "b", "c"];
const READ_TIMEOUT_MS = 350;
/** A step of the clock and a turn of the event loop. */
const TOLERANCE_MS = 5;

test("a read at a leader without a majority ends at its timeout", async (t) => {
  const cluster = new fakeCluster.FakeCluster(NAMES, NAMES);
  await cluster.start(NAMES, { founds: true });
  await cluster.run(3000);
  const leader = cluster.leader!;
  cluster.isolate([leader]);
  const startedAt = cluster.clock.now();
  let endedAt: number | undefined;
  const end = () => endedAt = cluster.clock.now();
  cluster.storeOf(leader).read(READ_TIMEOUT_MS).then(end, end);
  while (endedAt === undefined) await cluster.run(1);
  const took = endedAt - startedAt;
  t.true(took <= READ_TIMEOUT_MS + TOLERANCE_MS, `${took} ms`);
});
