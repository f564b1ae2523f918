/** Report of a run: figures as one JSON value.
 * @module */

import type * as schema from "../../src/schema/experiment_types.ts";
import type * as ledger from "../ledger.ts";
import * as run from "./run.ts";
import * as summary from "./summary.ts";
import * as verify from "./verify.ts";

/** Counts of requests. */
export interface Counts {
  sent: number;
  /** Answered whole within the deadline. */
  attained: number;
  /** Answered whole, but late. */
  late: number;
  /** Refused or failed with a problem document. */
  problems: number;
  /** Broken connections, silence, or answers with a violation. */
  lost: number;
  /** Share attained of those sent, 0 to 1. */
  attainment: number;
}

/** Figures of one account or kind. */
export interface Group extends Counts {
  name: string;
  /** From the intended sending to the whole answer, answered ones only. */
  latency: summary.Summary;
  /** Milliseconds of endpoint slots, wasted ones included. */
  engineTime: number;
}

/** Requests by the second in which they were to be sent. */
export interface Moment extends Counts {
  /** Milliseconds from the start. */
  at: number;
}

/** Times of one stage. */
export interface Stage extends summary.Summary {
  name: string;
  /** Mean attempts of a call. */
  attempts: number;
}

/** Cost of one service. */
export interface Cost extends ledger.Cost {
  service: string;
  /** Calls for each attained request. */
  callsEach: number;
  /** Slot milliseconds for each attained request. */
  engineTimeEach: number;
  /** Those of wasted calls. */
  wastedTimeEach: number;
}

/** A breach of what must always hold. */
export interface Breach {
  violation: verify.Violation;
  marker: string;
  account: string;
  kind: string;
  /** Milliseconds from the start. */
  at: number;
}

/** What a run showed. */
export interface Report {
  experiment: string;
  description: string;
  deployment: string;
  seed: number;
  /** What it ran against. */
  system: string;
  duration: number;
  counts: Counts;
  latency: summary.Summary;
  /** How late the load tool itself sent. */
  lag: summary.Summary;
  /** Tries beyond the first, by callers. */
  resends: number;
  accounts: Group[];
  kinds: Group[];
  stages: Stage[];
  costs: Cost[];
  /** Problem documents by name. */
  problems: Record<string, number>;
  /** Answered requests of which a stage ran more than once. */
  repeats: number;
  /** Breaches by name. */
  violations: Record<string, number>;
  breaches: Breach[];
  timeline: Moment[];
  faults: schema.ScheduledFault[];
}

/** What a report is made from. */
export interface Source {
  experiment: schema.Experiment;
  outcomes: readonly run.Outcome[];
  totals: ledger.Totals;
}

/** Most breaches that a report lists; all are counted. */
const MOST_BREACHES = 50;
/** Most points on the time axis. */
const MOST_MOMENTS = 120;

/** Draws up the report of a run. */
export function create({ experiment, outcomes, totals }: Source): Report {
  const checked = outcomes.map((outcome) => checkRuns(outcome, totals));
  const breaches = checked.filter(({ violation }) => violation !== undefined);
  const counts = count(checked);
  return {
    experiment: experiment.name,
    description: experiment.description ?? "",
    deployment: experiment.deployment,
    seed: experiment.seed ?? 1,
    system: describe(experiment),
    duration: experiment.duration,
    counts,
    latency: summarizeLatency(checked),
    lag: summary.summarize(checked.map(({ lag }) => lag)),
    resends: checked.reduce((sum, { tries }) => sum + tries - 1, 0),
    accounts: group(checked, { by: "account", totals }),
    kinds: group(checked, { by: "kind", totals }),
    stages: stages(checked),
    costs: costs(totals, counts.attained),
    problems: tally(checked.flatMap(problemName)),
    repeats: checked.filter((outcome) => repeated(outcome, totals)).length,
    violations: tally(breaches.map(({ violation }) => violation!)),
    breaches: breaches.slice(0, MOST_BREACHES).map(breach),
    timeline: timeline(checked, experiment.duration),
    faults: [...experiment.faults ?? []],
  };
}

function describe({ target, hosts = 1 }: schema.Experiment): string {
  if (target !== undefined) return `${target.hosts.length} running hosts`;
  return `${hosts} embedded host${hosts === 1 ? "" : "s"}`;
}

function checkRuns(outcome: run.Outcome, totals: ledger.Totals): run.Outcome {
  const { expected, reply, marker } = outcome;
  const violation = outcome.violation ??
    verify.checkRuns(expected, reply, totals.owners[marker]);
  return { ...outcome, violation };
}

function repeated({ reply, marker }: run.Outcome, totals: ledger.Totals) {
  if (reply.type !== "answer" && reply.type !== "plain") return false;
  return Object.values(totals.owners[marker] ?? {})
    .some(({ most }) => most > 1);
}

function breach(outcome: run.Outcome): Breach {
  const { marker, account, kind, at, violation } = outcome;
  return { violation: violation!, marker, account, kind, at: Math.round(at) };
}

function count(outcomes: readonly run.Outcome[]): Counts {
  let [attained, late, problems, lost] = [0, 0, 0, 0];
  for (const outcome of outcomes) {
    const { reply, violation } = outcome;
    if (run.attained(outcome)) attained++;
    else if (reply.type === "problem") problems++;
    else if (violation === undefined && reply.type !== "broken") late++;
    else lost++;
  }
  const sent = outcomes.length;
  const attainment = sent === 0 ? 0 : attained / sent;
  return { sent, attained, late, problems, lost, attainment };
}

function summarizeLatency(outcomes: readonly run.Outcome[]): summary.Summary {
  const answered = outcomes.filter(({ reply }) =>
    reply.type === "answer" || reply.type === "plain"
  );
  return summary.summarize(answered.map(({ latency }) => latency));
}

interface Grouping {
  by: "account" | "kind";
  totals: ledger.Totals;
}

function group(
  outcomes: readonly run.Outcome[],
  { by, totals }: Grouping,
): Group[] {
  const groups = new Map<string, run.Outcome[]>();
  for (const outcome of outcomes) {
    const members = groups.get(outcome[by]) ?? [];
    members.push(outcome);
    groups.set(outcome[by], members);
  }
  return [...groups].sort().map(([name, members]) => ({
    name,
    ...count(members),
    latency: summarizeLatency(members),
    engineTime: Math.round(
      members.reduce((sum, { marker }) => sum + engineTime(marker, totals), 0),
    ),
  }));
}

function engineTime(marker: string, { owners }: ledger.Totals): number {
  return Object.values(owners[marker] ?? {})
    .reduce((sum, share) => sum + share.engineTime, 0);
}

function stages(outcomes: readonly run.Outcome[]): Stage[] {
  const found = new Map<string, verify.Stage[]>();
  for (const { reply } of outcomes) {
    if (reply.type !== "answer") continue;
    for (const stage of reply.stages) {
      const times = found.get(stage.name) ?? [];
      times.push(stage);
      found.set(stage.name, times);
    }
  }
  return [...found].map(([name, times]) => ({
    name,
    ...summary.summarize(times.map(({ milliseconds }) => milliseconds)),
    attempts: times.reduce((sum, { attempts }) => sum + attempts, 0) /
      times.length,
  }));
}

function costs({ costs }: ledger.Totals, attained: number): Cost[] {
  const each = (value: number) => attained === 0 ? 0 : value / attained;
  return Object.entries(costs).sort().map(([service, cost]) => ({
    service,
    ...cost,
    callsEach: each(cost.calls),
    engineTimeEach: each(cost.engineTime),
    wastedTimeEach: each(cost.wastedTime),
  }));
}

function timeline(
  outcomes: readonly run.Outcome[],
  duration: number,
): Moment[] {
  const width = Math.max(1000, Math.ceil(duration / MOST_MOMENTS));
  const buckets = Array.from(
    { length: Math.ceil(duration / width) },
    (): run.Outcome[] => [],
  );
  for (const outcome of outcomes) {
    buckets[Math.floor(outcome.at / width)].push(outcome);
  }
  return buckets.map((members, pos) => ({
    at: pos * width,
    ...count(members),
  }));
}

function problemName({ reply }: run.Outcome): string[] {
  return reply.type === "problem" ? [reply.name] : [];
}

function tally(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}
