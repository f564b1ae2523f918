/** @module */

import test from "ava";
import * as beliefs from "./leader_hint.ts";

const { NONE } = beliefs.LeaderHint;

function leadership(leader: string, term: number) {
  return { leader, term, voters: [leader] };
}

function leaderAt(belief: beliefs.LeaderHint, now: number) {
  return belief.at(now)?.leader;
}

test("the leader of the highest term is believed, in whatever order it is told", (t) => {
  const [former, later] = [leadership("a", 3), leadership("b", 4)];
  t.is(leaderAt(NONE.update(former, 0).update(later, 1), 1), "b");
  t.is(leaderAt(NONE.update(later, 0).update(former, 1), 1), "b");
});

test("what nobody tells any more is not believed", (t) => {
  const belief = NONE.update(leadership("b", 4), 0);
  t.is(leaderAt(belief, 1500), "b");
  t.is(leaderAt(belief, 1501), undefined);
  t.is(leaderAt(belief.update(leadership("a", 3), 1501), 1501), "a");
});

test("a host that does not lead is not believed to", (t) => {
  const belief = NONE.update(leadership("b", 4), 0);
  t.is(leaderAt(belief.invalidate("a"), 1), "b");
  t.is(leaderAt(belief.invalidate("b"), 1), undefined);
});

test("voters are known also while nobody is believed to lead", (t) => {
  const belief = NONE.update(leadership("b", 4), 0);
  t.deepEqual(NONE.voters, []);
  t.deepEqual(belief.invalidate("b").voters, ["b"]);
});
