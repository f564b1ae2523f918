/** Guards against repeated split votes that leave the control hosts without a
 * leader for seconds after a power loss of all hosts. When two of five voters
 * have lost their disks, the other three must all vote for the same candidate.
 * On busy machines messages take as long as the random part of an election
 * timeout, so two voters became candidates at once, each voted for itself, and
 * both retried at the same time again.
 * @module */

import test from "ava";
import * as fakeCluster from "./fake_cluster.ts";

const NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const SEEDS = ["a", "b", "c"];
const VOTERS = 5;
const RUN_COUNT = 12;
/** Network latency on a busy machine. */
const LATENCY_MS = 120;
/** Longest election timeout. */
const ELECTION_TIMEOUT_MS = 900;
/** Duration of one election without a split vote: the election timeout and the
 * round trips of pre-vote and vote, and one more for messages in flight. */
const MAX_ELECTION_MS = ELECTION_TIMEOUT_MS + 6 * LATENCY_MS;

/** Returns the milliseconds from the start of all hosts, two voters of which
 * have lost their disks, until there is a leader. */
async function measureElection(seed: number): Promise<number> {
  const options = { voters: VOTERS, seed, delay: LATENCY_MS };
  const cluster = new fakeCluster.FakeCluster(NAMES, SEEDS, options);
  await cluster.start(NAMES, { founds: true });
  await cluster.run(9000);
  const others = cluster.storeOf(cluster.leader!).voters.filter((name) =>
    name !== cluster.leader
  );
  cluster.crash(NAMES);
  others.slice(0, 2).forEach((name) => cluster.wipeDisk(name));
  await cluster.run(500);
  await cluster.start(NAMES);
  const started = cluster.clock.now();
  while (
    cluster.leader === undefined && cluster.clock.now() - started < 10_000
  ) {
    await cluster.run(20);
  }
  return cluster.clock.now() - started;
}

test("the vote does not split when all remaining voters are needed", async (t) => {
  for (let run = 1; run <= RUN_COUNT; run++) {
    const took = await measureElection(run * 7919);
    t.true(took <= MAX_ELECTION_MS, `run ${run}: ${took} ms`);
  }
});
