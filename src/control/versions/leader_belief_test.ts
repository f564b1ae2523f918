/** @module */

import test from "ava";
import * as beliefs from "./leader_belief.ts";

const { NONE } = beliefs.LeaderBelief;

function leadership(leader: string, term: number) {
  return { leader, term, voters: [leader] };
}

function leaderAt(belief: beliefs.LeaderBelief, now: number) {
  return belief.at(now)?.leader;
}

test("the leader of the highest term is believed, in whatever order it is told", (t) => {
  const [former, later] = [leadership("a", 3), leadership("b", 4)];
  t.is(leaderAt(NONE.learn(former, 0).learn(later, 1), 1), "b");
  t.is(leaderAt(NONE.learn(later, 0).learn(former, 1), 1), "b");
});

test("what nobody tells any more is not believed", (t) => {
  const belief = NONE.learn(leadership("b", 4), 0);
  t.is(leaderAt(belief, 1500), "b");
  t.is(leaderAt(belief, 1501), undefined);
  t.is(leaderAt(belief.learn(leadership("a", 3), 1501), 1501), "a");
});

test("a host that does not lead is not believed to", (t) => {
  const belief = NONE.learn(leadership("b", 4), 0);
  t.is(leaderAt(belief.refute("a"), 1), "b");
  t.is(leaderAt(belief.refute("b"), 1), undefined);
});

test("voters are known also while nobody is believed to lead", (t) => {
  const belief = NONE.learn(leadership("b", 4), 0);
  t.deepEqual(NONE.voters, []);
  t.deepEqual(belief.refute("b").voters, ["b"]);
});
