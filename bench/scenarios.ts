/** Attainment and cost by stage under load and faults, against the naive
 * baseline, in virtual time.
 * @module */

import * as naiveDispatcher from "./naive_dispatcher.ts";
import * as bounds from "./scenario/bounds.ts";
import * as dispatchers from "./scenario/dispatchers.ts";
import * as ceiling from "./scenario/ceiling.ts";
import type * as deployment from "./scenario/deployment.ts";
import * as deployments from "./scenario/deployments.ts";
import * as scenario from "./scenario/scenario.ts";
import * as summary from "./scenario/summary.ts";
import * as world from "./scenario/world.ts";
import type * as result from "./result.ts";

/** Seeds whose results are averaged. */
const SEEDS = [1, 2, 3];

/** Numbers of hosts that take requests side by side. */
const HOSTS = [1, 6];

/** A run with what could have been reached. */
interface Played extends summary.Summary {
  ceiling: ceiling.Ceiling;
}

/** The measurement as `bench/main.ts` runs it. */
export const measurement: result.Measurement = {
  title: "attainment and cost by stage against the naive baseline",
  run: () => Promise.resolve(runAll()),
};

function runAll(): result.Result[] {
  const results: result.Result[] = [];
  for (const users of deployments.DEPLOYMENTS) {
    for (const run of scenario.SCENARIOS) {
      for (const hosts of HOSTS) results.push(...compare(users, run, hosts));
    }
  }
  return results;
}

/** Results of one scenario for both dispatchers. */
function compare(
  users: deployment.Deployment,
  run: scenario.Scenario,
  hosts: number,
): result.Result[] {
  const createNaive = () => new naiveDispatcher.NaiveDispatcher();
  const naive = playAll(users, { run, hosts, create: createNaive });
  const own = playAll(users, { run, hosts, create: dispatchers.create });
  const name = `${users.name}/${run.name}/hosts ${hosts}`;
  return [
    ...limits(name, naive),
    ...describe(`${name}/naive`, naive),
    ...describe(`${name}/own`, own),
    ...against(name, { naive, own }),
  ];
}

/** Plays every seed. */
function playAll(
  users: deployment.Deployment,
  options: Pick<world.Run, "hosts" | "create"> & { run: scenario.Scenario },
): Played[] {
  const { run, hosts, create } = options;
  return SEEDS.map((seed) => {
    const setup = { users, scenario: run, seed, hosts, create };
    const history = world.play(setup);
    const summed = summary.summarize(history, users, run);
    return { ...summed, ceiling: ceiling.of(history, users, seed) };
  });
}

/** What no dispatcher could better, whatever it knows. */
function limits(
  name: string,
  naive: readonly Played[],
): result.Result[] {
  const missed = mean(naive, (run) => 1 - run.attainment);
  return (["attainment", "weighted"] as const).flatMap((which) => {
    const most = mean(naive, (run) => run.ceiling[which]);
    return [
      ratio(`${name}/ceiling/${which}`, most),
      ratio(
        `${name}/ceiling/${which}, misses of naive`,
        divide(1 - most, missed),
      ),
    ];
  });
}

function describe(
  name: string,
  runs: readonly summary.Summary[],
): result.Result[] {
  const violations = runs.flatMap((run) => run.violations);
  const results: result.Result[] = [
    ratio(`${name}/attainment`, mean(runs, (run) => run.attainment)),
    ratio(`${name}/goodput`, mean(runs, (run) => run.goodput)),
    ratio(`${name}/wasted`, mean(runs, wastedShare)),
    count(`${name}/violations`, violations.length),
    ratio(
      `${name}/attainment of the highest weighted`,
      mean(runs, (run) => run.highest),
    ),
  ];
  for (const account of Object.keys(runs[0].byAccount)) {
    const share = mean(runs, (run) => run.byAccount[account]);
    results.push(ratio(`${name}/account/${account}`, share));
  }
  for (const kind of Object.keys(runs[0].byKind)) {
    const share = mean(runs, (run) => run.byKind[kind]);
    results.push(ratio(`${name}/kind/${kind}`, share));
  }
  return results;
}

/** Misses, and cost by stage for each answer in time, as ratios. */
function against(
  name: string,
  runs: {
    naive: readonly summary.Summary[];
    own: readonly summary.Summary[];
  },
): result.Result[] {
  const { naive, own } = runs;
  const misses = (run: summary.Summary) => 1 - run.attainment;
  const missed = divide(mean(own, misses), mean(naive, misses));
  const results = [ratio(`${name}/misses of naive`, missed)];
  for (const stage of Object.keys(naive[0].cost)) {
    const cost = (run: summary.Summary) => run.cost[stage];
    const whole = divide(mean(own, cost), mean(naive, cost));
    results.push(ratio(`${name}/cost/${stage} of naive`, whole));
    const each = (run: summary.Summary) => {
      return run.cost[stage] / (run.attainment * run.requests);
    };
    const answer = divide(mean(own, each), mean(naive, each));
    results.push(ratio(`${name}/cost an answer/${stage} of naive`, answer));
    const useful = (run: summary.Summary) => cost(run) - run.wasted[stage];
    const least = divide(mean(own, useful), mean(naive, cost));
    results.push(ratio(`${name}/useful cost/${stage} of naive`, least));
  }
  return results;
}

function wastedShare(run: summary.Summary): number {
  return divide(sum(run.wasted), sum(run.cost));
}

function sum(values: Record<string, number>): number {
  return Object.values(values).reduce((total, value) => total + value, 0);
}

function mean<T>(values: readonly T[], of: (value: T) => number): number {
  return values.reduce((total, value) => total + of(value), 0) / values.length;
}

/** Least divisor, so that a ratio stays finite, as JSON needs. */
const LEAST = 1e-4;

/** A ratio; 1 when both are 0. */
function divide(a: number, b: number): number {
  return a === b ? 1 : a / Math.max(LEAST, b);
}

function ratio(name: string, value: number): result.Result {
  const bound = bounds.boundOf(name);
  return { name, unit: "ratio", value, kind: "ratio", bound };
}

function count(name: string, value: number): result.Result {
  const bound = bounds.boundOf(name);
  return { name, unit: "", value, kind: "count", bound };
}
