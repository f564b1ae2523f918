/** Guards against non-voters that refuse all reads and commands when there are
 * more control hosts than voters. Only members of the log receive the leader's
 * heartbeats, so a host that was never a voter, or lost its vote while it was
 * down, knew of no leader and asked no host.
 * @module */

import test from "ava";
import * as fakeCluster from "./fake_cluster.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;
const FIRST_VERSION = 7;
const LATER_VERSION = 8;

/** Creates nine hosts, five of them voters, with a committed version. */
async function createCluster() {
  const cluster = new fakeCluster.FakeCluster(NAMES, SEEDS, { voters: VOTERS });
  await cluster.start(NAMES, { founds: true });
  await cluster.run(8000);
  await cluster.replace(cluster.leader!, FIRST_VERSION);
  return cluster;
}

function votersOf(cluster: fakeCluster.FakeCluster) {
  return cluster.storeOf(cluster.leader!).voters;
}

function nonVotersOf(cluster: fakeCluster.FakeCluster) {
  const voters = votersOf(cluster);
  return NAMES.filter((name) => !voters.includes(name));
}

/** Returns the version that each host reads. */
async function readAll(
  cluster: fakeCluster.FakeCluster,
  names: readonly string[],
) {
  const read = [];
  for (const name of names) read.push(await cluster.read(name));
  return read;
}

test("non-voters read the current version", async (t) => {
  const cluster = await createCluster();
  t.is(votersOf(cluster).length, VOTERS);
  t.deepEqual(await readAll(cluster, NAMES), NAMES.map(() => FIRST_VERSION));
});

test("non-voters accept commands", async (t) => {
  const cluster = await createCluster();
  for (const [number, name] of nonVotersOf(cluster).entries()) {
    t.is(await cluster.replace(name, LATER_VERSION + number), "accepted");
    t.is(await cluster.read(cluster.leader!), LATER_VERSION + number);
  }
});

test("non-voters switch to a new leader", async (t) => {
  const cluster = await createCluster();
  const former = cluster.leader!;
  cluster.crash([former]);
  await cluster.run(4000);
  await cluster.replace(cluster.leader!, LATER_VERSION);
  const others = NAMES.filter((name) => name !== former);
  t.deepEqual(await readAll(cluster, others), others.map(() => LATER_VERSION));
});

test("a host that lost its vote while it was down reads and accepts commands", async (t) => {
  const cluster = await createCluster();
  const removed = votersOf(cluster).find((name) => name !== cluster.leader)!;
  cluster.crash([removed]);
  await cluster.run(6000);
  t.false(votersOf(cluster).includes(removed));
  await cluster.start([removed]);
  await cluster.run(4000);
  t.false(votersOf(cluster).includes(removed));
  t.is(await cluster.replace(removed, LATER_VERSION), "accepted");
  t.is(await cluster.read(removed), LATER_VERSION);
});

test("a partitioned non-voter reads nothing until the partition heals", async (t) => {
  const cluster = await createCluster();
  const [isolated] = nonVotersOf(cluster);
  t.is(await cluster.read(isolated), FIRST_VERSION);
  cluster.isolate([isolated]);
  await cluster.replace(cluster.leader!, LATER_VERSION);
  t.is(await cluster.read(isolated), undefined);
  cluster.heal();
  await cluster.run(1000);
  t.is(await cluster.read(isolated), LATER_VERSION);
});

test("non-voters in a partition with a former leader read nothing outdated", async (t) => {
  const cluster = await createCluster();
  const former = cluster.leader!;
  const minority = nonVotersOf(cluster).slice(0, 2);
  cluster.isolate([former, ...minority]);
  await cluster.run(4000);
  const newLeader = cluster.running.find((name) =>
    name !== former && cluster.storeOf(name).isLeader
  )!;
  t.is(await cluster.replace(newLeader, LATER_VERSION), "accepted");
  t.deepEqual(await readAll(cluster, minority), [undefined, undefined]);
  cluster.heal();
  await cluster.run(3000);
  t.deepEqual(await readAll(cluster, NAMES), NAMES.map(() => LATER_VERSION));
});

test("a host that lost its disk reads as soon as it receives a leader hint", async (t) => {
  const cluster = await createCluster();
  const [lost] = nonVotersOf(cluster);
  cluster.crash([lost]);
  cluster.wipeDisk(lost);
  await cluster.start([lost]);
  await cluster.run(500);
  t.is(await cluster.read(lost), FIRST_VERSION);
});
