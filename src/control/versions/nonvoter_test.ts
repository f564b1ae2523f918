/** What was seen: on fleets with more control hosts than voters, reads and
 * changes were refused by some hosts for as long as they lived.
 *
 * How it came about: only members of the log hear who leads it. A host that
 * never had a vote, or lost it while it was away, knew of no leader, and asked
 * nobody. What proved it: the same hosts, each asked by itself, answered as
 * soon as they were told who leads.
 * @module */

import test from "ava";
import * as fakes from "./fake_cluster.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;
const FIRST = 7;
const LATER = 8;

/** Nine hosts, five of them voters, that hold a version. */
async function createFleet() {
  const fleet = new fakes.FakeCluster(NAMES, SEEDS, { voters: VOTERS });
  await fleet.start(NAMES, { founds: true });
  await fleet.run(8000);
  await fleet.replace(fleet.leader!, FIRST);
  return fleet;
}

function votersOf(fleet: fakes.FakeCluster) {
  return fleet.storeOf(fleet.leader!).voters;
}

function voteless(fleet: fakes.FakeCluster) {
  const voters = votersOf(fleet);
  return NAMES.filter((name) => !voters.includes(name));
}

/** What each of some hosts reads. */
async function readAll(fleet: fakes.FakeCluster, names: readonly string[]) {
  const read = [];
  for (const name of names) read.push(await fleet.read(name));
  return read;
}

test("hosts without a vote read what is in force", async (t) => {
  const fleet = await createFleet();
  t.is(votersOf(fleet).length, VOTERS);
  t.deepEqual(await readAll(fleet, NAMES), NAMES.map(() => FIRST));
});

test("hosts without a vote take changes", async (t) => {
  const fleet = await createFleet();
  for (const [number, name] of voteless(fleet).entries()) {
    t.is(await fleet.replace(name, LATER + number), "accepted");
    t.is(await fleet.read(fleet.leader!), LATER + number);
  }
});

test("hosts without a vote follow another leader", async (t) => {
  const fleet = await createFleet();
  const former = fleet.leader!;
  fleet.crash([former]);
  await fleet.run(4000);
  await fleet.replace(fleet.leader!, LATER);
  const others = NAMES.filter((name) => name !== former);
  t.deepEqual(await readAll(fleet, others), others.map(() => LATER));
});

test("a host that lost its vote while it was down reads and takes changes", async (t) => {
  const fleet = await createFleet();
  const away = votersOf(fleet).find((name) => name !== fleet.leader)!;
  fleet.crash([away]);
  await fleet.run(6000);
  t.false(votersOf(fleet).includes(away));
  await fleet.start([away]);
  await fleet.run(4000);
  t.false(votersOf(fleet).includes(away));
  t.is(await fleet.replace(away, LATER), "accepted");
  t.is(await fleet.read(away), LATER);
});

test("a host without a vote that is cut off reads nothing, and all once it is back", async (t) => {
  const fleet = await createFleet();
  const [off] = voteless(fleet);
  t.is(await fleet.read(off), FIRST);
  fleet.isolate([off]);
  await fleet.replace(fleet.leader!, LATER);
  t.is(await fleet.read(off), undefined);
  fleet.heal();
  await fleet.run(1000);
  t.is(await fleet.read(off), LATER);
});

test("hosts without a vote beside a leader that is cut off read nothing old", async (t) => {
  const fleet = await createFleet();
  const former = fleet.leader!;
  const beside = voteless(fleet).slice(0, 2);
  fleet.isolate([former, ...beside]);
  await fleet.run(4000);
  const now = fleet.running.find((name) =>
    name !== former && fleet.storeOf(name).isLeader
  )!;
  t.is(await fleet.replace(now, LATER), "accepted");
  t.deepEqual(await readAll(fleet, beside), [undefined, undefined]);
  fleet.heal();
  await fleet.run(3000);
  t.deepEqual(await readAll(fleet, NAMES), NAMES.map(() => LATER));
});

test("a host that lost its disk reads as soon as it hears of the leader", async (t) => {
  const fleet = await createFleet();
  const [lost] = voteless(fleet);
  fleet.crash([lost]);
  fleet.wipeDisk(lost);
  await fleet.start([lost]);
  await fleet.run(500);
  t.is(await fleet.read(lost), FIRST);
});
