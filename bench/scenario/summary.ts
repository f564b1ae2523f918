/** Attainment and cost of one run.
 * @module */

import * as deployment from "./deployment.ts";
import type * as scenario from "./scenario.ts";
import type * as world from "./world.ts";

/** What a run came to. */
export interface Summary {
  requests: number;
  /** Share of requests answered whole within their deadline. */
  attainment: number;
  byAccount: Record<string, number>;
  /** Attainment of the account with the highest weight. */
  highest: number;
  byKind: Record<string, number>;
  /** Requests refused or failed. */
  refused: number;
  /** Milliseconds of slots by stage. */
  cost: Record<string, number>;
  /** Of these, what served no answer in time. */
  wasted: Record<string, number>;
  /** Share of the busiest pool's slots, over the scenario's window, that
   * served answers in time. */
  goodput: number;
  violations: readonly string[];
}

/** Sums a history up. */
export function summarize(
  history: world.History,
  users: deployment.Deployment,
  run: scenario.Scenario,
): Summary {
  const { traces, violations } = history;
  const byAccount = attainments(traces, ({ request }) => request.account);
  const [first] = users.accounts.toSorted((a, b) => b.weight - a.weight);
  return {
    requests: traces.length,
    attainment: attainment(traces),
    byAccount,
    highest: byAccount[first.name],
    byKind: attainments(traces, ({ request }) => request.kind),
    refused: traces.filter(({ ending }) => ending !== "complete").length,
    ...costs(history),
    goodput: goodput(history, users, run),
    violations,
  };
}

/** Answered whole and in time; what must not be repeated but may have run
 * twice, such as a doubled booking, does not count. */
function isInTime({ ending, ended, request, ran }: world.Trace): boolean {
  if (ending !== "complete" || ended === undefined) return false;
  const doubled = !request.idempotent && ran.some((calls) => calls > 1);
  return !doubled && ended <= request.deadline;
}

function attainment(traces: readonly world.Trace[]): number {
  return traces.filter(isInTime).length / Math.max(1, traces.length);
}

function attainments(
  traces: readonly world.Trace[],
  nameOf: (trace: world.Trace) => string,
): Record<string, number> {
  const groups = new Map<string, world.Trace[]>();
  for (const trace of traces) {
    const name = nameOf(trace);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [trace]);
    else group.push(trace);
  }
  const entries = [...groups].map(([name, group]) => [name, attainment(group)]);
  return Object.fromEntries(entries.sort());
}

function costs({ spent }: world.History) {
  const cost: Record<string, number> = {};
  const wasted: Record<string, number> = {};
  for (const { trace, stage, key, time } of spent) {
    const { name } = trace.request.stages[stage];
    const useful = trace.answered[stage] === key && isInTime(trace);
    cost[name] = (cost[name] ?? 0) + time;
    wasted[name] = (wasted[name] ?? 0) + (useful ? 0 : time);
  }
  return { cost, wasted };
}

function goodput(
  { spent }: world.History,
  users: deployment.Deployment,
  run: scenario.Scenario,
): number {
  const pool = deployment.busiestOf(users);
  const [start, end] = run.window;
  let useful = 0;
  for (const { trace, stage, key, time } of spent) {
    const { ended = 0, request } = trace;
    if (request.stages[stage].service !== pool.service) continue;
    if (!isInTime(trace) || trace.answered[stage] !== key) continue;
    if (ended >= start && ended < end) useful += time;
  }
  return useful / (pool.endpoints * pool.slots * (end - start));
}
