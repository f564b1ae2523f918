/** @module */

import test from "ava";
import * as members from "./control_members.ts";

/** Hosts named by data centre and number, such as `a1`. */
function hosts(...names: string[]) {
  return names.map((host) => ({ host, dataCentre: host[0] }));
}

/** Members as a host knows them that started at 0. */
function createMembers(...known: string[]) {
  const self = { host: "a1", dataCentre: "a" };
  return members.ControlMembers.create(self, { known, now: 0 });
}

function choose(
  live: readonly string[],
  voters: readonly string[],
  most = 5,
): string {
  const electorate = { leader: voters[0] ?? live[0], live: hosts(...live) };
  return members.chooseVoters({ ...electorate, voters, maxVoters: most }).join(
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

test("there are no more voters than asked for", (t) => {
  const live = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"];
  t.is(choose(live, []).split(" ").length, 5);
});

test("a lost voter stays while no live host can take its place", (t) => {
  t.is(choose(["a1", "b1"], ["a1", "b1", "c1"]), "a1 b1 c1");
});

test("a live host takes the place of a lost voter", (t) => {
  t.is(choose(["a1", "b1", "c2"], ["a1", "b1", "c1"]), "a1 b1 c2");
});

test("voters beyond the most go, from the data centres with the most", (t) => {
  const six = ["a1", "a2", "a3", "b1", "b2", "c1"];
  t.is(choose(six, six), "a1 a2 b1 b2 c1");
  t.is(
    choose(["c1", "a1", "a2", "a3"], ["a1", "a2", "a3", "c1"], 3),
    "a1 a2 c1",
  );
});

test("who leads keeps its vote where there is one too many", (t) => {
  const six = ["c9", "a1", "a2", "b1", "b2", "c1"];
  t.is(choose(six, six), "a1 a2 b1 b2 c9");
});

test("a host that has just started exchanges no voter that it could not hear yet", (t) => {
  const self = { host: "a1", dataCentre: "a" };
  const own = members.ControlMembers.create(self, { known: [], now: 1000 });
  own.recordHello({ host: "c1", dataCentre: "c", heard: 1400 });
  const voters = ["a1", "a2", "b1"];
  const chosenAt = (now: number) =>
    members.chooseVoters({
      leader: "a1",
      live: own.candidates(voters, now),
      voters,
      maxVoters: 3,
    });
  t.deepEqual(chosenAt(1500), voters);
  own.recordHello({ host: "a2", dataCentre: "a", heard: 2400 });
  own.recordHello({ host: "c1", dataCentre: "c", heard: 2400 });
  t.deepEqual(chosenAt(2501), ["a1", "a2", "c1"]);
});

test("a voter that lives is never put out for another", (t) => {
  t.is(choose(["a1", "a2", "a3", "b1"], ["a1", "a2", "a3"]), "a1 a2 a3");
});

test("a host is live while it greets, and this host always", (t) => {
  const own = createMembers("a1", "b1");
  own.recordHello({ host: "c1", dataCentre: "c", heard: 100 });
  t.deepEqual(own.live(1000).map(({ host }) => host), ["a1", "c1"]);
  t.deepEqual(own.live(2000).map(({ host }) => host), ["a1"]);
  t.deepEqual(own.others, ["b1", "c1"]);
});

test("hosts that were heard just now are no majority of the voters", (t) => {
  const own = createMembers();
  own.addKnown(["a2", "b1", "b2", "c1"]);
  t.true(own.isMajority(["a1", "a2", "b1"], ["a1", "a2", "c1"]));
  t.false(own.isMajority(["a1", "b1", "b2"], ["a1", "a2", "c1"]));
  t.false(own.isMajority(["a1", "a2"], ["a1", "a2", "b1", "c1"]));
});

test("without known voters a majority is of all hosts ever known", (t) => {
  const own = createMembers();
  own.addKnown(["a2", "b1"]);
  t.true(own.isMajority(["a1", "b1"], []));
  t.false(own.isMajority(["a1"], []));
});
