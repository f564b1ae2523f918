/** Guards against reads that return an old configuration while a disk is full. A
 * leader confirms the version that the reader holds without sending it again;
 * when the reader's replica failed meanwhile, it returned as confirmed what it
 * had fetched the last time that it lagged.
 * @module */

import test from "ava";
import * as fakeCluster from "./fake_cluster.ts";

const NAMES = ["a", "b", "c"];
const DELAY_MS = 20;
const VERSION = 7;

/** A cluster in which a follower's disk fills up while it reads, so that its
 * replica fails before the leader's reply arrives. Resolves with what it reads
 * of each. */
async function readOnFullDisk() {
  const cluster = new fakeCluster.FakeCluster(NAMES, NAMES, {
    delay: DELAY_MS,
  });
  await cluster.start(NAMES, { founds: true });
  await cluster.run(3000);
  const leader = cluster.leader!;
  await cluster.replace(leader, VERSION);
  await cluster.evacuate(leader, "town");
  const follower = NAMES.find((name) => name !== leader)!;
  const store = cluster.storeOf(follower);
  const wasRunning = store.status !== undefined;
  const reading = store.read(1000);
  cluster.fillDisk(follower);
  // An outdated version is refused, and written to each replica.
  void cluster.replace(leader, VERSION - 1);
  await cluster.run(2000);
  return {
    wasRunning,
    isRunning: store.status !== undefined,
    read: (await reading).version,
    held: store.configuration.version,
    evacuated: store.evacuations.active.length,
    later: await cluster.read(follower),
  };
}

test("a read returns no older version when the replica fails meanwhile", async (t) => {
  t.deepEqual(await readOnFullDisk(), {
    wasRunning: true,
    isRunning: false,
    read: VERSION,
    held: VERSION,
    evacuated: 1,
    later: VERSION,
  });
});
