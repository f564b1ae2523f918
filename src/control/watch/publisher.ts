/** Publishes the table to hosts that watch it. Runs on replicas of the log,
 * and on observers, which watch a replica themselves and serve other hosts.
 * @module */

import type * as schema from "../../schema/watch_types.ts";
import * as table from "../table/mod.ts";
import * as message from "./snapshot.ts";

/** Milliseconds after which a watcher with nothing new hears so. */
export const KEEPALIVE_INTERVAL_MS = 500;
/** Milliseconds over which commits are gathered into one delta. */
const BATCH = 20;
/** Milliseconds after which a watcher that did not renew is forgotten. */
const FORGET = 6000;
/** Cells of the newest deltas kept; older watchers get a snapshot. */
const HISTORY_CELLS = 4096;
const HISTORY_EDITS = 1024;

/** What a publisher hears. */
export type PublisherEvent =
  | {
    /** The table moved on; `written` is absent when it is not known what
     * changed. */
    type: "commit";
    table: table.Table;
    written?: readonly table.CellWrite[];
  }
  | { type: "status"; current: boolean; leader?: string }
  | { type: "message"; from: string; body: schema.Message }
  | { type: "tick" };

/** What a publisher asks for. */
export type PublisherEffect =
  | { type: "send"; to: string; body: schema.Message }
  | { type: "wake"; at: number };

/** A publisher after an event, and what it asks for. */
export interface PublisherStep {
  publisher: Publisher;
  effects: PublisherEffect[];
}

interface Subscriber {
  /** Revision up to which it was sent everything. */
  readonly sent: number;
  readonly renewed: number;
  readonly lastSend: number;
}

interface Edition {
  readonly revision: number;
  readonly written: readonly table.CellWrite[];
}

interface State {
  table: table.Table;
  /** Newest changes without a gap, oldest first. */
  history: readonly Edition[];
  /** Revision before the first of `history`. */
  from: number;
  subscribers: ReadonlyMap<string, Subscriber>;
  current: boolean;
  leader?: string;
  /** When the gathered commits go out; undefined when there are none. */
  flushAt?: number;
}

/** Immutable state of a publisher. */
export class Publisher {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** A publisher that starts with `first`. */
  static create(first: table.Table): Publisher {
    return new Publisher({
      table: first,
      history: [],
      from: first.revision,
      subscribers: new Map(),
      current: false,
    });
  }

  /** Takes in `event` at `now`; a wake asks for a `tick`. */
  step(event: PublisherEvent, now: number): PublisherStep {
    const effects: PublisherEffect[] = [];
    const handler = handlers[event.type] as Handler<PublisherEvent>;
    const state = handler(this.#state, event, { now, effects });
    const at = wakeTime(state);
    if (at !== undefined) effects.push({ type: "wake", at });
    return { publisher: new Publisher(state), effects };
  }

  /** State for people. */
  dump(): unknown {
    const { table, history, current, leader, subscribers } = this.#state;
    return {
      revision: table.revision,
      history: history.length,
      current,
      leader,
      subscribers: Object.fromEntries(subscribers),
    };
  }
}

interface Turn {
  now: number;
  effects: PublisherEffect[];
  /** Whether the status goes along with a delta. */
  status?: boolean;
}

type Handler<E> = (state: State, event: E, turn: Turn) => State;

const handlers: {
  [T in PublisherEvent["type"]]: Handler<Extract<PublisherEvent, { type: T }>>;
} = {
  commit: takeCommit,
  status(state, { current, leader }, turn) {
    const changed = current !== state.current || leader !== state.leader;
    const next = { ...state, current, leader };
    return changed ? sendAll(next, { ...turn, status: true }, all) : next;
  },
  message(state, { from, body }, turn) {
    if (body.type === "leave") return forget(state, [from]);
    if (body.type !== "subscribe") return state;
    const { now } = turn;
    const subscriber = { sent: body.revision, renewed: now, lastSend: now };
    const known = addSubscriber(state, from, subscriber);
    return sendTo(known, from, { ...turn, status: true });
  },
  tick: takeTick,
};

function takeCommit(
  state: State,
  { table, written }: Extract<PublisherEvent, { type: "commit" }>,
  { now }: Turn,
): State {
  const { revision } = table;
  if (revision <= state.table.revision) return state;
  const flushAt = state.flushAt ?? now + BATCH;
  if (written === undefined) {
    return { ...state, table, history: [], from: revision, flushAt };
  }
  const history = [...state.history, { revision, written }];
  return trim({ ...state, table, history, flushAt });
}

/** Drops the oldest history past the bounds. */
function trim(state: State): State {
  let { history, from } = state;
  let cells = history.reduce((sum, { written }) => sum + written.length, 0);
  while (cells > HISTORY_CELLS || history.length > HISTORY_EDITS) {
    const [first, ...rest] = history;
    cells -= first.written.length;
    from = first.revision;
    history = rest;
  }
  return { ...state, history, from };
}

function takeTick(state: State, _event: unknown, turn: Turn): State {
  const { now } = turn;
  const silent = [...state.subscribers].filter(([, { renewed }]) =>
    now >= renewed + FORGET
  ).map(([host]) => host);
  const known = forget(state, silent);
  const flush = known.flushAt !== undefined && now >= known.flushAt;
  const next = flush ? { ...known, flushAt: undefined } : known;
  return sendAll(
    next,
    turn,
    ({ lastSend, sent }) =>
      now >= lastSend + KEEPALIVE_INTERVAL_MS ||
      (flush && sent < state.table.revision),
  );
}

function sendAll(
  state: State,
  turn: Turn,
  due: (subscriber: Subscriber) => boolean,
): State {
  let next = state;
  for (const [host, subscriber] of state.subscribers) {
    if (due(subscriber)) next = sendTo(next, host, turn);
  }
  return next;
}

/** Sends `to` what it lacks, or that there is nothing. */
function sendTo(state: State, to: string, turn: Turn): State {
  const { now, effects, status = false } = turn;
  const subscriber = state.subscribers.get(to)!;
  for (const body of bodiesFor(state, { sent: subscriber.sent, status })) {
    effects.push({ type: "send", to, body });
  }
  const sent = Math.max(subscriber.sent, state.table.revision);
  return addSubscriber(state, to, { ...subscriber, sent, lastSend: now });
}

function bodiesFor(
  state: State,
  { sent, status }: { sent: number; status: boolean },
): schema.Message[] {
  const { current, leader, history } = state;
  const { revision } = state.table;
  const alive: schema.Alive = { type: "alive", revision, current, leader };
  if (sent >= revision) return [alive];
  if (sent < state.from) return [...message.snapshotOf(state.table), alive];
  const written = history.filter((edition) => edition.revision > sent)
    .flatMap((edition) => edition.written);
  const delta = { type: "delta" as const, from: sent, revision, written };
  return status ? [delta, alive] : [delta];
}

function all(): boolean {
  return true;
}

function addSubscriber(
  state: State,
  host: string,
  subscriber: Subscriber,
): State {
  const subscribers = new Map(state.subscribers).set(host, subscriber);
  return { ...state, subscribers };
}

function forget(state: State, hosts: readonly string[]): State {
  if (hosts.length === 0) return state;
  const subscribers = new Map(state.subscribers);
  for (const host of hosts) subscribers.delete(host);
  return { ...state, subscribers };
}

function wakeTime({ subscribers, flushAt }: State): number | undefined {
  let at = flushAt ?? Infinity;
  for (const { lastSend, renewed } of subscribers.values()) {
    at = Math.min(at, lastSend + KEEPALIVE_INTERVAL_MS, renewed + FORGET);
  }
  return at === Infinity ? undefined : at;
}
