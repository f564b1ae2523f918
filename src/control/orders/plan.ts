/** What a service's engines should have loaded, and the next order that brings
 * one of them there.
 * @module */

import type * as endpoint from "../../schema/endpoint_types.ts";
import type * as schema from "../../schema/orders_types.ts";
import type * as table from "../table/mod.ts";

/** An engine that takes orders. */
export interface Engine {
  id: string;
  service: string;
  url: string;
  /** Run of the engine: a later one has nothing of what the former loaded. */
  generation?: number;
  /** Whether it refuses old fencing tokens; `unknown` counts as ignoring. */
  fencing?: endpoint.Announcement["fencing"];
}

/** What a row `service/NAME` asks for. */
export interface Goal {
  model?: string;
  adapter?: string;
  version?: string;
  role?: string;
  /** Engines that have the model; all when absent. */
  replicas?: number;
}

/** An engine with the newest report of it; undefined when it has none. */
export interface Candidate {
  engine: string;
  report?: schema.Report;
  /** Whether the report is from after the last order and the last failure. */
  fresh: boolean;
}

/** The next order for one engine. */
export interface PlannedOrder {
  engine: string;
  order: schema.Order;
}

/** The goal of `service` in the table. */
export function goalOf(current: table.Table, service: string): Goal {
  const { cells = {} } = current.row(`service/${service}`) ?? {};
  return {
    model: cells.model?.value as string | undefined,
    adapter: cells.adapter?.value as string | undefined,
    version: cells.version?.value as string | undefined,
    role: cells.role?.value as string | undefined,
    replicas: cells.replicas?.value as number | undefined,
  };
}

/** At most one order for each engine, the most useful first. Engines without
 * a fresh report get none, but keep their place among the replicas. */
export function plan(
  goal: Goal,
  candidates: readonly Candidate[],
): PlannedOrder[] {
  const { replicas = candidates.length } = goal;
  const ordered = candidates.toSorted((a, b) =>
    rank(goal, b) - rank(goal, a) || (a.engine < b.engine ? -1 : 1)
  );
  const assigned = ordered.slice(0, replicas);
  const surplus = ordered.slice(replicas);
  const steps = assigned.map((candidate) => stepFor(goal, candidate));
  if (assigned.every((one) => one.fresh && has(goal, one))) {
    steps.push(...surplus.map((candidate) => release(goal, candidate)));
  }
  return steps.filter((step) => step !== undefined);
}

/** Engines that have the model stay in, then those that load, then those that
 * answer. */
function rank(goal: Goal, candidate: Candidate): number {
  const { report, fresh } = candidate;
  if (has(goal, candidate)) return 3;
  if (report?.loading) return 2;
  return fresh ? 1 : 0;
}

function stepFor(goal: Goal, candidate: Candidate): PlannedOrder | undefined {
  const { engine, report, fresh } = candidate;
  if (!fresh || report === undefined || report.loading) return undefined;
  const { model, adapter, version, role } = goal;
  if (model !== undefined && !has(goal, candidate)) {
    return { engine, order: { type: "load", model, adapter, version } };
  }
  if (role !== undefined && report.role !== role) {
    return { engine, order: { type: "role", role } };
  }
  // The former version goes only once the wanted one is there.
  const old = report.models.find((loaded) =>
    sameModel(goal, loaded) && !sameVersion(goal, loaded)
  );
  return old && { engine, order: unload(old) };
}

function release(goal: Goal, candidate: Candidate): PlannedOrder | undefined {
  const { engine, report, fresh } = candidate;
  if (!fresh || report === undefined || report.loading) return undefined;
  const loaded = report.models.find((loaded) => sameModel(goal, loaded));
  return loaded && { engine, order: unload(loaded) };
}

function has(goal: Goal, { report }: Candidate): boolean {
  if (report === undefined) return false;
  return report.models.some((loaded) =>
    sameModel(goal, loaded) && sameVersion(goal, loaded)
  );
}

function sameModel(goal: Goal, loaded: schema.LoadedModel): boolean {
  return loaded.model === goal.model &&
    (loaded.adapter ?? undefined) === goal.adapter;
}

function sameVersion(goal: Goal, { version }: schema.LoadedModel): boolean {
  return goal.version === undefined || version === goal.version;
}

function unload(
  { model, adapter, version }: schema.LoadedModel,
): schema.ModelOrder {
  return {
    type: "unload",
    model,
    adapter: adapter ?? undefined,
    version: version ?? undefined,
  };
}
