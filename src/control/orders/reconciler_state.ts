/** Brings the engines to what the table asks for. Runs where the lease of the
 * log is held; reads each engine, orders one change at a time and reads again
 * before the next, so that an order whose answer was lost is not repeated
 * blindly.
 * @module */

import type * as schema from "../../schema/orders_types.ts";
import * as table from "../table/mod.ts";
import * as bucket from "./token_bucket.ts";
import type * as events from "./reconciler_event.ts";
import * as plans from "./plan.ts";

/** Milliseconds in which a call to an engine ends. */
export const CALL_TIMEOUT = 2000;
/** Milliseconds between reads of an engine at rest, at the least. */
const READ_EVERY = 10_000;
/** Milliseconds that reads are apart over all engines, at the least. */
const READ_SPACING = 20;
/** Milliseconds until an engine is read again after an order, a load under
 * way or a failure. */
const READ_AGAIN = 1000;
/** Milliseconds until an order whose answer was lost has surely arrived. */
const LOST_WAIT = 2 * CALL_TIMEOUT;
/** Reads and orders under way at once. */
const MOST_CALLS = 64;

/** Orders after an event, and what they ask for. */
export interface ReconcilerStep {
  state: ReconcilerState;
  effects: events.ReconcilerEffect[];
}

interface Entry {
  readonly engine: plans.Engine;
  /** Newest report; undefined when there is none. */
  readonly report?: schema.Report;
  /** Whether the report is from after the last order and the last failure,
   * and was read under this lease. */
  readonly fresh: boolean;
  /** Whether it was read since the last order under this lease, with or
   * without success. */
  readonly asked: boolean;
  readonly call?: "read" | "order";
  /** Fencing token of the lease under which it is read. */
  readonly token?: number;
  readonly readAt: number;
}

interface State {
  limits: events.Limits;
  lease?: events.Lease;
  table: table.Table;
  entries: table.Trie<Entry>;
  services: ReadonlyMap<string, readonly string[]>;
  bucket?: bucket.TokenBucket;
  calls: number;
}

/** Immutable state of the orders. */
export class ReconcilerState {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Orders without lease, table or engines. */
  static create(limits: events.Limits): ReconcilerState {
    return new ReconcilerState({
      limits,
      table: table.Table.create(),
      entries: table.Trie.create<Entry>(),
      services: new Map(),
      calls: 0,
    });
  }

  /** Takes in `event` at `now`; a wake asks for a `tick`. */
  step(event: events.ReconcilerEvent, now: number): ReconcilerStep {
    const effects: events.ReconcilerEffect[] = [];
    const handler = handlers[event.type] as Handler<events.ReconcilerEvent>;
    const taken = handler(this.#state, event, { now, effects });
    const state = act(taken, { now, effects });
    return { state: new ReconcilerState(state), effects };
  }

  /** State for people. */
  dump(): unknown {
    const { lease, entries, calls } = this.#state;
    const engines = [...entries.entries()].map(([id, entry]) => [
      id,
      { report: entry.report, call: entry.call, readAt: entry.readAt },
    ]);
    return { lease, calls, engines: Object.fromEntries(engines) };
  }
}

interface Turn {
  now: number;
  effects: events.ReconcilerEffect[];
}

type Handler<E> = (state: State, event: E, turn: Turn) => State;

const handlers: {
  [T in events.ReconcilerEvent["type"]]: Handler<
    Extract<events.ReconcilerEvent, { type: T }>
  >;
} = {
  lease(state, { lease }, { now }) {
    if (lease?.token === state.lease?.token) return { ...state, lease };
    // What was read under another lease may have been changed since.
    const entries = [...state.entries.entries()].map(([id, entry]) =>
      [id, { ...entry, fresh: false, asked: false, readAt: now }] as const
    );
    return {
      ...state,
      lease,
      entries: table.Trie.create<Entry>(entries),
      bucket: lease &&
        bucket.TokenBucket.create(state.limits.loadsPerSecond, now),
    };
  },
  table: (state, event) => ({ ...state, table: event.table }),
  engines: takeEngines,
  report(state, { engine, report }, { now }) {
    const entry = state.entries.get(engine);
    if (entry === undefined || entry.call !== "read") return state;
    const { token } = entry;
    if (token !== state.lease?.token) {
      return finish(state, { ...entry, readAt: now });
    }
    const fresh = report !== undefined;
    const wait = report === undefined || report.loading
      ? READ_AGAIN
      : Math.max(READ_EVERY, state.entries.size * READ_SPACING);
    const readAt = now + wait;
    const known = report ?? entry.report;
    return finish(state, {
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
    const wait = answer.type === "lost" ? LOST_WAIT : READ_AGAIN;
    return finish(state, { ...entry, readAt: now + wait });
  },
  tick: (state) => state,
};

function takeEngines(
  state: State,
  { engines }: Extract<events.ReconcilerEvent, { type: "engines" }>,
  { now }: Turn,
): State {
  const services = new Map<string, string[]>();
  const entries = engines.map((engine): [string, Entry] => {
    const ids = services.get(engine.service) ?? [];
    services.set(engine.service, [...ids, engine.id]);
    const known = state.entries.get(engine.id);
    // Another process: what is known of the former is void.
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

function finish(state: State, entry: Entry): State {
  const ended = { ...entry, call: undefined };
  const entries = state.entries.set(entry.engine.id, ended);
  return { ...state, entries, calls: state.calls - 1 };
}

/** Orders and reads what is due, while the lease lasts. */
function act(state: State, turn: Turn): State {
  const { lease } = state;
  if (lease === undefined || turn.now >= lease.until) return state;
  const ordered = order(state, lease, turn);
  const next = read(ordered, lease, turn);
  turn.effects.push({ type: "wake", at: wakeTime(next, lease, turn.now) });
  return next;
}

function read(
  state: State,
  lease: events.Lease,
  { now, effects }: Turn,
): State {
  let next = state;
  for (const [id, entry] of state.entries.entries()) {
    if (next.calls >= MOST_CALLS) break;
    if (entry.call !== undefined || now < entry.readAt) continue;
    effects.push({ type: "read", engine: entry.engine });
    const called: Entry = { ...entry, call: "read", token: lease.token };
    const entries = next.entries.set(id, called);
    next = { ...next, entries, calls: next.calls + 1 };
  }
  return next;
}

function order(state: State, lease: events.Lease, turn: Turn): State {
  let next = state;
  for (const [service, ids] of state.services) {
    const entries = ids.map((id) => next.entries.get(id)!);
    // A choice among engines waits until all were asked, and one change of a
    // service ends before the next begins.
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
      const sent = send(next, step, { lease, turn });
      if (sent === undefined) continue;
      next = sent;
      break;
    }
  }
  return next;
}

function send(
  state: State,
  { engine: id, order }: plans.PlannedOrder,
  { lease, turn }: { lease: events.Lease; turn: Turn },
): State | undefined {
  const entry = state.entries.get(id)!;
  const { engine } = entry;
  if (entry.call !== undefined || state.calls >= MOST_CALLS) return undefined;
  if (turn.now < allowedAt(engine, lease, state.limits)) return undefined;
  const paced = order.type === "load";
  const left = paced ? state.bucket?.take(turn.now) : state.bucket;
  if (left === undefined) return undefined;
  turn.effects.push({ type: "order", engine, token: lease.token, order });
  const sent: Entry = { ...entry, fresh: false, asked: false, call: "order" };
  const entries = state.entries.set(id, sent);
  return { ...state, entries, bucket: left, calls: state.calls + 1 };
}

/** An engine that does not check tokens gets no order before the former lease
 * is over and what was sent under it has arrived. */
function allowedAt(
  { fencing = "unknown" }: plans.Engine,
  { since }: events.Lease,
  { leaseMs: lease }: events.Limits,
): number {
  return fencing === "checks" ? since : since + lease + CALL_TIMEOUT;
}

function wakeTime(state: State, lease: events.Lease, now: number): number {
  let at = now + READ_EVERY;
  for (const [, { readAt, call }] of state.entries.entries()) {
    if (call === undefined) at = Math.min(at, readAt);
  }
  const waited = lease.since + state.limits.leaseMs + CALL_TIMEOUT;
  const ready = state.bucket?.readyAt() ?? Infinity;
  for (const other of [waited, ready]) {
    if (other > now) at = Math.min(at, other);
  }
  return at;
}
