/** What was seen: after a loss of power of all hosts and of two disks, no control
 * host gave out the configuration for seconds; elections split again and again.
 *
 * How it came about: with two of five voters empty the other three must all vote
 * for one. On busy machines messages take as long as the random part of an
 * election timeout, so two voters stood at once, each gave itself its vote, and
 * both tried again as close to each other as before. What proved it: the same
 * starts in virtual time, by the time that a message takes.
 * @module */

import test from "ava";
import * as fakes from "./fake_cluster.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;
const RUNS = 12;
/** Milliseconds from host to host on a busy machine. */
const DELAY = 120;
/** Milliseconds after which a voter stands at the latest. */
const TIMEOUT = 900;
/** Milliseconds of one election without a split: pre-vote, vote, and one more
 * way there and back for what was under way. */
const ELECTION = TIMEOUT + 6 * DELAY;

/** Milliseconds from the start of all hosts, of which two voters have lost their
 * disks, to a leader. */
async function electionOf(seed: number): Promise<number> {
  const options = { voters: VOTERS, seed, delay: DELAY };
  const fleet = new fakes.FakeCluster(NAMES, SEEDS, options);
  await fleet.start(NAMES, { founds: true });
  await fleet.run(9000);
  const others = fleet.storeOf(fleet.leader!).voters.filter((name) =>
    name !== fleet.leader
  );
  fleet.crash(NAMES);
  others.slice(0, 2).forEach((name) => fleet.wipeDisk(name));
  await fleet.run(500);
  await fleet.start(NAMES);
  const started = fleet.clock.now();
  while (fleet.leader === undefined && fleet.clock.now() - started < 10_000) {
    await fleet.run(20);
  }
  return fleet.clock.now() - started;
}

test("an election where all votes are needed does not split", async (t) => {
  for (let run = 1; run <= RUNS; run++) {
    const took = await electionOf(run * 7919);
    t.true(took <= ELECTION, `run ${run}: ${took} ms`);
  }
});
