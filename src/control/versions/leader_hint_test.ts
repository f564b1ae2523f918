/** @module */

import test from "ava";
import * as leaderHint from "./leader_hint.ts";

const { NONE } = leaderHint.LeaderHint;

function leadership(leader: string, term: number) {
  return { leader, term, voters: [leader] };
}

function leaderAt(belief: leaderHint.LeaderHint, now: number) {
  return belief.at(now)?.leader;
}

test("the hint with the highest term wins, in whatever order hints arrive", (t) => {
  const [former, later] = [leadership("a", 3), leadership("b", 4)];
  t.is(leaderAt(NONE.update(former, 0).update(later, 1), 1), "b");
  t.is(leaderAt(NONE.update(later, 0).update(former, 1), 1), "b");
});

test("a hint that is not renewed expires", (t) => {
  const belief = NONE.update(leadership("b", 4), 0);
  t.is(leaderAt(belief, 1500), "b");
  t.is(leaderAt(belief, 1501), undefined);
  t.is(leaderAt(belief.update(leadership("a", 3), 1501), 1501), "a");
});

test("a host that denies being the leader is no longer the hint", (t) => {
  const belief = NONE.update(leadership("b", 4), 0);
  t.is(leaderAt(belief.invalidate("a"), 1), "b");
  t.is(leaderAt(belief.invalidate("b"), 1), undefined);
});

test("voters remain known without a valid hint", (t) => {
  const belief = NONE.update(leadership("b", 4), 0);
  t.deepEqual(NONE.voters, []);
  t.deepEqual(belief.invalidate("b").voters, ["b"]);
});
