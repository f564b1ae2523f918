/** Guards against control hosts that no longer return an acknowledged
 * configuration after several of them have lost their disks in turn and all
 * have lost power. A replica with an empty disk asked only its seeds to add it
 * to the log, and only the leader can do so. While a host outside the seeds
 * led, no lost disk was replaced, until two of five voters were left.
 * @module */

import test from "ava";
import * as telemetry from "../../telemetry/mod.ts";
import * as fakeCluster from "./fake_cluster.ts";

const NAMES = ["a", "b", "c", "d", "e"];
const SEEDS = ["a", "b", "c"];
const OTHERS = ["d", "e"];
/** Time within which a host with an empty disk must join: half of the four
 * seconds after which another loss has to be tolerated. */
const JOIN_MS = 2000;
const VERSION = 7;

/** Creates five hosts, three of them seeds, with one of `leaders` as leader. */
async function createCluster(leaders: readonly string[]) {
  const cluster = new fakeCluster.FakeCluster(NAMES, SEEDS);
  await cluster.start(NAMES, { founds: true });
  await cluster.run(6000);
  await cluster.moveLeader(leaders);
  return cluster;
}

/** Crashes a host, and restarts it after a second with an empty disk. */
async function loseDisk(cluster: fakeCluster.FakeCluster, name: string) {
  cluster.crash([name]);
  cluster.wipeDisk(name);
  await cluster.run(1000);
  await cluster.start([name]);
}

/** Returns whether a host that loses its disk under one of `leaders` joins in
 * time, and the number of voters then. */
async function joinedUnder(leaders: readonly string[]) {
  const cluster = await createCluster(leaders);
  const lost = NAMES.find((name) => name !== cluster.leader)!;
  await loseDisk(cluster, lost);
  await cluster.run(JOIN_MS);
  const { id, voters } = cluster.storeOf(lost).status!;
  return { hasJoined: voters.includes(id), voters: voters.length };
}

test("a host with a lost disk joins while a seed is the leader", async (t) => {
  t.deepEqual(await joinedUnder(SEEDS), { hasJoined: true, voters: 5 });
});

test("a host with a lost disk joins while the leader is not a seed", async (t) => {
  t.deepEqual(await joinedUnder(OTHERS), { hasJoined: true, voters: 5 });
});

/** Returns what each host reads after two disks were lost in turn under one of
 * `leaders`, a version was acknowledged, and then all hosts lost power and one
 * its disk as well. */
async function readAfterLosses(leaders: readonly string[]) {
  const cluster = await createCluster(leaders);
  const others = NAMES.filter((name) => name !== cluster.leader);
  for (const lost of others.slice(0, 2)) {
    await loseDisk(cluster, lost);
    await cluster.run(4000);
  }
  await cluster.replace(cluster.leader!, VERSION);
  cluster.crash(NAMES);
  cluster.wipeDisk(others[2]);
  await cluster.run(1000);
  await cluster.start(NAMES);
  await cluster.run(5000);
  const versions = [];
  for (const name of NAMES) versions.push(await cluster.read(name));
  return versions;
}

test("an acknowledged version survives disks lost in turn, whichever host leads", async (t) => {
  const expected = NAMES.map(() => VERSION);
  t.deepEqual(await readAfterLosses(SEEDS), expected);
  t.deepEqual(await readAfterLosses(OTHERS), expected);
});

test("a host without a leader logs which hosts it asks and which it receives from", async (t) => {
  const cluster = new fakeCluster.FakeCluster(NAMES, SEEDS);
  const lines: object[] = [];
  const note = (fields: object, msg: string) => {
    if (msg === "No leader of the log known") lines.push(fields);
  };
  const logger = { ...telemetry.noLogger, info: note };
  await cluster.start(["a", "b"], { logger });
  await cluster.run(2500);
  t.like(lines[0], { isMember: false, voters: [] });
  t.deepEqual((lines[0] as { asks: string[] }).asks, NAMES);
  t.true("b" in (lines.at(-2) as { heardMs: object }).heardMs);
});
