/** @module */

import test from "ava";
import * as controlMembers from "./control_members.ts";

/** Creates hosts from names such as `a1`: data centre and number. */
function hostsOf(...names: string[]) {
  return names.map((host) => ({ host, dataCentre: host[0] }));
}

/** Creates the members of host `a1`, which started at time 0. */
function createMembers(...known: string[]) {
  const self = { host: "a1", dataCentre: "a" };
  return controlMembers.ControlMembers.create(self, { known, now: 0 });
}

function choose(
  live: readonly string[],
  voters: readonly string[],
  maxVoters = 5,
): string {
  const selection = { leader: voters[0] ?? live[0], live: hostsOf(...live) };
  return controlMembers.chooseVoters({
    ...selection,
    voters,
    maxVoters,
  }).join(
    " ",
  );
}

test("voters grow to an odd number, spread over data centres", (t) => {
  t.is(
    choose(["a1", "a2", "b1", "b2", "c1"], ["a1", "b1", "c1"]),
    "a1 a2 b1 b2 c1",
  );
  t.is(choose(["a1", "a2", "b1", "c1"], ["a1"]), "a1 b1 c1");
});

test("the number of voters stays within its limit", (t) => {
  const live = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"];
  t.is(choose(live, []).split(" ").length, 5);
});

test("a lost voter remains while no live host can replace it", (t) => {
  t.is(choose(["a1", "b1"], ["a1", "b1", "c1"]), "a1 b1 c1");
});

test("a live host replaces a lost voter", (t) => {
  t.is(choose(["a1", "b1", "c2"], ["a1", "b1", "c1"]), "a1 b1 c2");
});

test("voters above the limit are removed from the data centres with most voters", (t) => {
  const six = ["a1", "a2", "a3", "b1", "b2", "c1"];
  t.is(choose(six, six), "a1 a2 b1 b2 c1");
  t.is(
    choose(["c1", "a1", "a2", "a3"], ["a1", "a2", "a3", "c1"], 3),
    "a1 a2 c1",
  );
});

test("the leader remains a voter when there is one voter too many", (t) => {
  const six = ["c9", "a1", "a2", "b1", "b2", "c1"];
  t.is(choose(six, six), "a1 a2 b1 b2 c9");
});

test("a host that has just started replaces no voter before its hello message can arrive", (t) => {
  const self = { host: "a1", dataCentre: "a" };
  const members = controlMembers.ControlMembers.create(self, {
    known: [],
    now: 1000,
  });
  members.recordHello({ host: "c1", dataCentre: "c", heard: 1400 });
  const voters = ["a1", "a2", "b1"];
  const chosenAt = (now: number) =>
    controlMembers.chooseVoters({
      leader: "a1",
      live: members.candidates(voters, now),
      voters,
      maxVoters: 3,
    });
  t.deepEqual(chosenAt(1500), voters);
  members.recordHello({ host: "a2", dataCentre: "a", heard: 2400 });
  members.recordHello({ host: "c1", dataCentre: "c", heard: 2400 });
  t.deepEqual(chosenAt(2501), ["a1", "a2", "c1"]);
});

test("a live voter is never replaced by another host", (t) => {
  t.is(choose(["a1", "a2", "a3", "b1"], ["a1", "a2", "a3"]), "a1 a2 a3");
});

test("a host is live while it sends hello messages, and this host always", (t) => {
  const members = createMembers("a1", "b1");
  members.recordHello({ host: "c1", dataCentre: "c", heard: 100 });
  t.deepEqual(members.live(1000).map(({ host }) => host), ["a1", "c1"]);
  t.deepEqual(members.live(2000).map(({ host }) => host), ["a1"]);
  t.deepEqual(members.others, ["b1", "c1"]);
});

test("a majority is counted among the voters, not among the live hosts", (t) => {
  const members = createMembers();
  members.addKnown(["a2", "b1", "b2", "c1"]);
  t.true(members.isMajority(["a1", "a2", "b1"], ["a1", "a2", "c1"]));
  t.false(members.isMajority(["a1", "b1", "b2"], ["a1", "a2", "c1"]));
  t.false(members.isMajority(["a1", "a2"], ["a1", "a2", "b1", "c1"]));
});

test("without known voters a majority is counted among all hosts ever known", (t) => {
  const members = createMembers();
  members.addKnown(["a2", "b1"]);
  t.true(members.isMajority(["a1", "b1"], []));
  t.false(members.isMajority(["a1"], []));
});

test("a host that restarts between two hello messages is a new process", (t) => {
  // Guards against a restarted control host that is sent no endpoints and no
  // suspects, since it was never missed.
  const members = createMembers();
  const hello = (incarnation: string | undefined, heard: number) =>
    members.recordHello({ host: "b1", dataCentre: "b", incarnation, heard });
  t.true(hello("1a", 0));
  t.false(hello("1a", 400));
  t.true(hello("2b", 800));
  t.false(hello("2b", 1200));
  t.true(hello("2b", 2800), "it was missed for longer than hosts may be");
  t.true(hello(undefined, 3200), "a release that states no incarnation");
  t.false(hello(undefined, 3600));
});
