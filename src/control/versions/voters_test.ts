/** Guards against six voters in place of five, for good, after all of more
 * control hosts than voters were killed at once. A new leader took voters for
 * lost whose messages could not have arrived since its start, and added another
 * voter. When the lost voter was back a moment later, both remained, since a
 * live voter was never removed.
 * @module */

import test from "ava";
import * as fakeCluster from "./fake_cluster.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;

async function createCluster() {
  const cluster = new fakeCluster.FakeCluster(NAMES, SEEDS, { voters: VOTERS });
  await cluster.start(NAMES, { founds: true });
  await cluster.run(8000);
  return cluster;
}

function votersOf(cluster: fakeCluster.FakeCluster) {
  return [...cluster.storeOf(cluster.leader!).voters].sort();
}

test("a surplus voter is removed once all desired hosts are voters", async (t) => {
  const cluster = await createCluster();
  const before = votersOf(cluster);
  const { leader } = cluster;
  const added = NAMES.find((name) => !before.includes(name))!;
  const kept = before.filter((name) => name !== leader).slice(1);
  cluster.setDesiredVoters([leader!, ...kept, added]);
  await cluster.run(4000);
  t.deepEqual(votersOf(cluster), [leader!, ...kept, added].sort());
});

test("a new leader keeps the present voters, whatever its seeds are", async (t) => {
  const cluster = await createCluster();
  const before = votersOf(cluster);
  const seeds = NAMES.filter((name) => !before.includes(name));
  cluster.setDesiredVoters([]);
  cluster.crash(NAMES);
  await cluster.run(500);
  await cluster.start(NAMES, { seeds });
  await cluster.run(4000);
  t.deepEqual(votersOf(cluster), before);
});
