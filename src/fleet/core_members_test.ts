/** @module */

import test from "ava";
import * as members from "./core_members.ts";

/** Hosts named by data centre and number, such as `a1`. */
function hosts(...names: string[]) {
  return names.map((host) => ({ host, dataCentre: host[0] }));
}

function choose(
  live: readonly string[],
  voters: readonly string[],
  most = 5,
): string {
  return members.chooseVoters({ live: hosts(...live), voters, most }).join(" ");
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

test("a voter that lives is never put out for another", (t) => {
  t.is(choose(["a1", "a2", "a3", "b1"], ["a1", "a2", "a3"]), "a1 a2 a3");
});

test("a host is live while it greets, and this host always", (t) => {
  const own = members.CoreMembers.create({ host: "a1", dataCentre: "a" }, [
    "a1",
    "b1",
  ]);
  own.hear({ host: "c1", dataCentre: "c", heard: 100 });
  t.deepEqual(own.live(1000).map(({ host }) => host), ["a1", "c1"]);
  t.deepEqual(own.live(2000).map(({ host }) => host), ["a1"]);
  t.deepEqual(own.others, ["b1", "c1"]);
});

test("hosts that were heard just now are no majority of the voters", (t) => {
  const own = members.CoreMembers.create({ host: "a1", dataCentre: "a" }, []);
  own.learn(["a2", "b1", "b2", "c1"]);
  t.true(own.isMajority(["a1", "a2", "b1"], ["a1", "a2", "c1"]));
  t.false(own.isMajority(["a1", "b1", "b2"], ["a1", "a2", "c1"]));
  t.false(own.isMajority(["a1", "a2"], ["a1", "a2", "b1", "c1"]));
});

test("without known voters a majority is of all hosts ever known", (t) => {
  const own = members.CoreMembers.create({ host: "a1", dataCentre: "a" }, []);
  own.learn(["a2", "b1"]);
  t.true(own.isMajority(["a1", "b1"], []));
  t.false(own.isMajority(["a1"], []));
});
