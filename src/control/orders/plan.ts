/** Compares what the engines of a service have loaded with the goal in the table,
 * and plans the next orders.
 * @module */

import type * as endpoint from "../../schema/endpoint_types.ts";
import type * as schema from "../../schema/orders_types.ts";
import type * as table from "../table/mod.ts";

/** An engine that accepts orders. */
export interface Engine {
  id: string;
  service: string;
  url: string;
  /** Run of the engine; a restart unloads all models. */
  generation?: number;
  /** Whether it refuses old fencing tokens; `unknown` is treated as `ignores`. */
  fencing?: endpoint.Announcement["fencing"];
}

/** Desired state of a service, from the row `service/NAME`. */
export interface Goal {
  model?: string;
  adapter?: string;
  version?: string;
  role?: string;
  /** Number of engines that load the model; all if absent. */
  replicas?: number;
}

/** An engine and its newest report, if there is one. */
export interface Candidate {
  engine: string;
  report?: schema.Report;
  /** Whether the report was read after the last order and the last failure. */
  fresh: boolean;
}

/** The next order for one engine. */
export interface PlannedOrder {
  engine: string;
  order: schema.Order;
}

/** Returns the goal of `service` in the table. */
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

/** Returns at most one order per engine, those to engines nearest to the goal
 * first. An engine without a fresh report gets none, but may still count as a
 * replica. */
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
  const steps = assigned.map((candidate) => nextOrder(goal, candidate));
  if (assigned.every((one) => one.fresh && isLoaded(goal, one))) {
    steps.push(...surplus.map((candidate) => releaseSurplus(goal, candidate)));
  }
  return steps.filter((step) => step !== undefined);
}

/** Rank for the choice of replicas: engines that have loaded the model come
 * first, then those that are loading, then those with a fresh report. */
function rank(goal: Goal, candidate: Candidate): number {
  const { report, fresh } = candidate;
  if (isLoaded(goal, candidate)) return 3;
  if (report?.loading) return 2;
  return fresh ? 1 : 0;
}

function nextOrder(goal: Goal, candidate: Candidate): PlannedOrder | undefined {
  const { engine, report, fresh } = candidate;
  if (!fresh || report === undefined || report.loading) return undefined;
  const { model, adapter, version, role } = goal;
  if (model !== undefined && !isLoaded(goal, candidate)) {
    return { engine, order: { type: "load", model, adapter, version } };
  }
  if (role !== undefined && report.role !== role) {
    return { engine, order: { type: "role", role } };
  }
  // Other versions are unloaded only once the desired one is loaded.
  const old = report.models.find((loaded) =>
    sameModel(goal, loaded) && !sameVersion(goal, loaded)
  );
  return old && { engine, order: unloadOrder(old) };
}

function releaseSurplus(
  goal: Goal,
  candidate: Candidate,
): PlannedOrder | undefined {
  const { engine, report, fresh } = candidate;
  if (!fresh || report === undefined || report.loading) return undefined;
  const loaded = report.models.find((loaded) => sameModel(goal, loaded));
  return loaded && { engine, order: unloadOrder(loaded) };
}

function isLoaded(goal: Goal, { report }: Candidate): boolean {
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

function unloadOrder(
  { model, adapter, version }: schema.LoadedModel,
): schema.ModelOrder {
  return {
    type: "unload",
    model,
    adapter: adapter ?? undefined,
    version: version ?? undefined,
  };
}
