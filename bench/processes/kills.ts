/** Kills the leader under a stream of edits, then another voter right after
 * the first is back: no accepted edit may be lost, doubled or reverted.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as editors from "./editors.ts";
import * as fleets from "./fleet.ts";
import type * as operator from "./operator.ts";
import * as tables from "./tables.ts";

const SETTINGS = "examples/kivu/fleet.yaml";
const FOLDER = "out/kills";
/** Edits at least; they go on until both killed voters are back. */
const EDITS = 500;
const EDITORS = 8;
const SEED = 7;

/** Milliseconds of edits before the first kill, and of a host's absence. */
const CALM = 1_000;

/** What a run found. */
export interface Finding {
  accepted: number;
  /** Accepted edits that are missing, or not the last word on their cell. */
  lost: number;
  /** Revisions that no accepted edit accounts for. */
  doubled: number;
  changedAnswers: number;
  unfairRaces: number;
  /** Times that a host was seen with an older revision than before. */
  reverted: number;
  /** Longest time without an accepted edit, in milliseconds. */
  longestGap: number;
  /** Milliseconds from the last accepted edit to its revision on all hosts. */
  settled: number;
  medianLatency: number;
}

/** Runs six daemons, the editors and the kills. */
export async function run(): Promise<Finding> {
  const fleet = fleets.Fleet.create(SETTINGS, FOLDER);
  try {
    await fleet.startAll();
    return await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measure(fleet: fleets.Fleet): Promise<Finding> {
  const operators = fleet.hosts.map((host) => fleet.operator(host));
  await fleet.until(
    async () => await tables.revisionOf(operators[0]) > 0,
    "rows",
  );
  const first = await tables.revisionOf(operators[0]);
  const observer = new tables.Observer(fleet, CALM / 20);
  const watching = observer.run();
  let killed = false;
  const killing = kill(fleet).finally(() => killed = true);
  const outcome = await editors.run({
    operators,
    actor: "planner",
    edits: EDITS,
    more: () => !killed,
    editors: EDITORS,
    resends: 0.1,
    races: 0.1,
    random: runtime.createRandom(SEED),
    clock: runtime.systemClock,
  });
  const last = Math.max(...outcome.accepted.map(({ revision }) => revision));
  const before = performance.now();
  await fleet.until(async () => {
    const revisions = await Promise.all(operators.map(tables.revisionOf));
    return revisions.every((revision) => revision === last);
  }, "the last edit is in force everywhere");
  const settled = performance.now() - before;
  await killing;
  observer.stop();
  await watching;
  return {
    accepted: outcome.accepted.length,
    lost: await tables.countLost(operators, outcome.accepted),
    doubled: last - first - outcome.accepted.length,
    changedAnswers: outcome.changedAnswers,
    unfairRaces: outcome.unfairRaces,
    reverted: observer.reverted,
    longestGap: outcome.longestGap,
    settled,
    medianLatency: median(outcome.latencies),
  };
}

/** Kills the leader, brings it back, and kills another voter at once. */
async function kill(fleet: fleets.Fleet): Promise<void> {
  await fleets.pause(CALM);
  const { voters } = fleet;
  const leader = await leaderOf(fleet.operator(voters[0]));
  await fleet.kill(leader);
  await fleets.pause(CALM);
  await fleet.start(leader);
  const second = voters.find((host) => host !== leader)!;
  await fleet.kill(second);
  await fleets.pause(CALM);
  await fleet.start(second);
}

async function leaderOf(client: operator.Operator): Promise<string> {
  const { parts } = await client.status() as {
    parts: { control: { leader: string } };
  };
  return parts.control.leader;
}

function median(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)];
}
