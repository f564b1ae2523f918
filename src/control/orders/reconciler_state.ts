/** State machine that reconciles the engines with the table, on the host that
 * holds the lease of the log. It reads each engine, orders one change at a time
 * and reads the engine again before the next, so that an order whose answer was
 * lost is not repeated if it took effect.
 * @module */

import type * as schema from "../../schema/orders_types.ts";
import * as table from "../table/mod.ts";
import * as tokenBuckets from "./token_bucket.ts";
import type * as events from "./reconciler_event.ts";
import * as plans from "./plan.ts";

/** Timeout of a call to an engine. */
export const CALL_TIMEOUT_MS = 2000;
/** Minimum time between reads of an engine without a change under way. */
const READ_INTERVAL_MS = 10_000;
/** Minimum mean time between reads over all engines. */
const READ_SPACING_MS = 20;
/** Time until an engine is read again after an order, a failure, or a report of
 * a load in progress. */
const REREAD_DELAY_MS = 1000;
/** Time after which an order whose answer was lost has arrived, if at all. */
const LOST_ORDER_DELAY_MS = 2 * CALL_TIMEOUT_MS;
/** Maximum number of concurrent reads and orders. */
const MAX_CONCURRENT_CALLS = 64;

/** The state after an event, and the actions it requests. */
export interface ReconcilerStep {
  state: ReconcilerState;
  effects: events.ReconcilerEffect[];
}

interface Entry {
  readonly engine: plans.Engine;
  /** Newest report; undefined if there is none. */
  readonly report?: schema.Report;
  /** Whether the report was read under the present lease, after the last order
   * and the last failure. */
  readonly fresh: boolean;
  /** Whether a read was attempted under the present lease since the last order,
   * with or without success. */
  readonly asked: boolean;
  readonly call?: "read" | "order";
  /** Fencing token of the lease under which the call was started. */
  readonly token?: number;
  readonly readAt: number;
}

interface State {
  limits: events.Limits;
  lease?: events.Lease;
  table: table.Table;
  entries: table.Trie<Entry>;
  services: ReadonlyMap<string, readonly string[]>;
  bucket?: tokenBuckets.TokenBucket;
  calls: number;
}

/** Immutable state of the reconciler. */
export class ReconcilerState {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Creates a state without lease, table or engines. */
  static create(limits: events.Limits): ReconcilerState {
    return new ReconcilerState({
      limits,
      table: table.Table.create(),
      entries: table.Trie.create<Entry>(),
      services: new Map(),
      calls: 0,
    });
  }

  /** Handles `event` at `now`; the effect `wake` requests a `tick` at its
   * time. */
  step(event: events.ReconcilerEvent, now: number): ReconcilerStep {
    const effects: events.ReconcilerEffect[] = [];
    const handler = handlers[event.type] as Handler<events.ReconcilerEvent>;
    const taken = handler(this.#state, event, { now, effects });
    const state = startCalls(taken, { now, effects });
    return { state: new ReconcilerState(state), effects };
  }

  /** Returns the state for a dump. */
  dump(): unknown {
    const { lease, entries, calls } = this.#state;
    const engines = [...entries.entries()].map(([id, entry]) => [
      id,
      { report: entry.report, call: entry.call, readAt: entry.readAt },
    ]);
    return { lease, calls, engines: Object.fromEntries(engines) };
  }
}

interface StepContext {
  now: number;
  effects: events.ReconcilerEffect[];
}

type Handler<E> = (state: State, event: E, context: StepContext) => State;

const handlers: {
  [T in events.ReconcilerEvent["type"]]: Handler<
    Extract<events.ReconcilerEvent, { type: T }>
  >;
} = {
  lease(state, { lease }, { now }) {
    if (lease?.token === state.lease?.token) return { ...state, lease };
    // An engine may have been changed since it was read under another lease.
    const entries = [...state.entries.entries()].map(([id, entry]) =>
      [id, { ...entry, fresh: false, asked: false, readAt: now }] as const
    );
    return {
      ...state,
      lease,
      entries: table.Trie.create<Entry>(entries),
      bucket: lease &&
        tokenBuckets.TokenBucket.create(state.limits.loadsPerSecond, now),
    };
  },
  table: (state, event) => ({ ...state, table: event.table }),
  engines: handleEngines,
  report(state, { engine, report }, { now }) {
    const entry = state.entries.get(engine);
    if (entry === undefined || entry.call !== "read") return state;
    const { token } = entry;
    if (token !== state.lease?.token) {
      return endCall(state, { ...entry, readAt: now });
    }
    const fresh = report !== undefined;
    const wait = report === undefined || report.loading
      ? REREAD_DELAY_MS
      : Math.max(READ_INTERVAL_MS, state.entries.size * READ_SPACING_MS);
    const readAt = now + wait;
    const known = report ?? entry.report;
    return endCall(state, {
      ...entry,
      report: known,
      fresh,
      asked: true,
      readAt,
    });
  },
  answer(state, { engine, answer }, { now, effects }) {
    const entry = state.entries.get(engine);
    if (entry === undefined || entry.call !== "order") return state;
    if (answer.type === "fenced") {
      effects.push({ type: "fenced", engine, token: answer.token });
    }
    const wait = answer.type === "lost" ? LOST_ORDER_DELAY_MS : REREAD_DELAY_MS;
    return endCall(state, { ...entry, readAt: now + wait });
  },
  tick: (state) => state,
};

function handleEngines(
  state: State,
  { engines }: Extract<events.ReconcilerEvent, { type: "engines" }>,
  { now }: StepContext,
): State {
  const services = new Map<string, string[]>();
  const entries = engines.map((engine): [string, Entry] => {
    const ids = services.get(engine.service) ?? [];
    services.set(engine.service, [...ids, engine.id]);
    const known = state.entries.get(engine.id);
    // The report of another process of the engine is not valid for this one.
    if (known !== undefined && sameProcess(known.engine, engine)) {
      return [engine.id, { ...known, engine }];
    }
    return [engine.id, { engine, fresh: false, asked: false, readAt: now }];
  });
  const calls = entries.filter(([, { call }]) => call !== undefined).length;
  return { ...state, entries: table.Trie.create(entries), services, calls };
}

function sameProcess(left: plans.Engine, right: plans.Engine): boolean {
  return left.url === right.url && left.generation === right.generation;
}

function endCall(state: State, entry: Entry): State {
  const ended = { ...entry, call: undefined };
  const entries = state.entries.set(entry.engine.id, ended);
  return { ...state, entries, calls: state.calls - 1 };
}

/** Starts the orders and reads that are due, while the lease is valid. */
function startCalls(state: State, context: StepContext): State {
  const { lease } = state;
  if (lease === undefined || context.now >= lease.until) return state;
  const ordered = startOrders(state, lease, context);
  const next = startReads(ordered, lease, context);
  context.effects.push({
    type: "wake",
    at: wakeTime(next, lease, context.now),
  });
  return next;
}

function startReads(
  state: State,
  lease: events.Lease,
  { now, effects }: StepContext,
): State {
  let next = state;
  for (const [id, entry] of state.entries.entries()) {
    if (next.calls >= MAX_CONCURRENT_CALLS) break;
    if (entry.call !== undefined || now < entry.readAt) continue;
    effects.push({ type: "read", engine: entry.engine });
    const called: Entry = { ...entry, call: "read", token: lease.token };
    const entries = next.entries.set(id, called);
    next = { ...next, entries, calls: next.calls + 1 };
  }
  return next;
}

function startOrders(
  state: State,
  lease: events.Lease,
  context: StepContext,
): State {
  let next = state;
  for (const [service, ids] of state.services) {
    const entries = ids.map((id) => next.entries.get(id)!);
    // The plan compares all engines of the service, so each one must have been
    // read, and an order must end before the next one of the service is sent.
    if (!entries.every(({ asked, call }) => asked && call !== "order")) {
      continue;
    }
    const candidates = entries.map(({ engine, report, fresh }) => ({
      engine: engine.id,
      report,
      fresh,
    }));
    const goal = plans.goalOf(next.table, service);
    for (const step of plans.plan(goal, candidates)) {
      const sent = startOrder(next, step, { lease, context });
      if (sent === undefined) continue;
      next = sent;
      break;
    }
  }
  return next;
}

function startOrder(
  state: State,
  { engine: id, order }: plans.PlannedOrder,
  { lease, context }: { lease: events.Lease; context: StepContext },
): State | undefined {
  const entry = state.entries.get(id)!;
  const { engine } = entry;
  if (entry.call !== undefined || state.calls >= MAX_CONCURRENT_CALLS) {
    return undefined;
  }
  if (context.now < earliestOrderAt(engine, lease, state.limits)) {
    return undefined;
  }
  const paced = order.type === "load";
  const left = paced ? state.bucket?.take(context.now) : state.bucket;
  if (left === undefined) return undefined;
  context.effects.push({ type: "order", engine, token: lease.token, order });
  const sent: Entry = { ...entry, fresh: false, asked: false, call: "order" };
  const entries = state.entries.set(id, sent);
  return { ...state, entries, bucket: left, calls: state.calls + 1 };
}

/** Returns the earliest time of an order to an engine. If the engine does not
 * check fencing tokens, that is when the former lease has expired and all orders
 * sent under it have arrived. */
function earliestOrderAt(
  { fencing = "unknown" }: plans.Engine,
  { since }: events.Lease,
  { leaseMs: lease }: events.Limits,
): number {
  return fencing === "checks" ? since : since + lease + CALL_TIMEOUT_MS;
}

function wakeTime(state: State, lease: events.Lease, now: number): number {
  let at = now + READ_INTERVAL_MS;
  for (const [, { readAt, call }] of state.entries.entries()) {
    if (call === undefined) at = Math.min(at, readAt);
  }
  const waited = lease.since + state.limits.leaseMs + CALL_TIMEOUT_MS;
  const ready = state.bucket?.readyAt() ?? Infinity;
  for (const other of [waited, ready]) {
    if (other > now) at = Math.min(at, other);
  }
  return at;
}
