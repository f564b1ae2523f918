/** Publishes the table to subscribers. Runs on replicas of the log and on
 * observers, which watch a replica themselves.
 * @module */

import type * as schema from "../../schema/watch_types.ts";
import * as table from "../table/mod.ts";
import * as message from "./snapshot.ts";

/** Time after which a subscriber without updates is sent a keepalive. */
export const KEEPALIVE_INTERVAL_MS = 500;
/** Time over which commits are combined into one delta. */
const BATCH_WINDOW_MS = 20;
/** Time after which a subscription that was not renewed expires. */
const SUBSCRIPTION_TTL_MS = 6000;
/** Bounds of the history of changes; a subscriber that is further behind gets a
 * snapshot. */
const MAX_HISTORY_CELLS = 4096;
const MAX_HISTORY_EDITS = 1024;

/** Input of a publisher. */
export type PublisherEvent =
  | {
    /** The table has a newer revision; `written` is absent if the changed cells
     * are unknown. */
    type: "commit";
    table: table.Table;
    written?: readonly table.CellWrite[];
  }
  | { type: "status"; current: boolean; leader?: string }
  | { type: "message"; from: string; body: schema.Message }
  | { type: "tick" };

/** Action that a publisher requests. */
export type PublisherEffect =
  | { type: "send"; to: string; body: schema.Message }
  | { type: "wake"; at: number };

/** A publisher after an event, and the actions it requests. */
export interface PublisherStep {
  publisher: Publisher;
  effects: PublisherEffect[];
}

interface Subscriber {
  /** Newest revision that was sent to it. */
  readonly sent: number;
  readonly renewed: number;
  readonly lastSend: number;
}

interface Revision {
  readonly revision: number;
  readonly written: readonly table.CellWrite[];
}

interface State {
  table: table.Table;
  /** Most recent changes without a gap, oldest first. */
  history: readonly Revision[];
  /** Revision before the first one of `history`. */
  from: number;
  subscribers: ReadonlyMap<string, Subscriber>;
  current: boolean;
  leader?: string;
  /** When the batched commits are sent; undefined if there are none. */
  flushAt?: number;
}

/** Immutable state machine of a publisher. */
export class Publisher {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Creates a publisher whose table is `first`. */
  static create(first: table.Table): Publisher {
    return new Publisher({
      table: first,
      history: [],
      from: first.revision,
      subscribers: new Map(),
      current: false,
    });
  }

  /** Handles `event` at `now`; the effect `wake` requests a `tick` at its
   * time. */
  step(event: PublisherEvent, now: number): PublisherStep {
    const effects: PublisherEffect[] = [];
    const handler = handlers[event.type] as Handler<PublisherEvent>;
    const state = handler(this.#state, event, { now, effects });
    const at = wakeTime(state);
    if (at !== undefined) effects.push({ type: "wake", at });
    return { publisher: new Publisher(state), effects };
  }

  /** Returns the state for a dump. */
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

interface StepContext {
  now: number;
  effects: PublisherEffect[];
  /** Whether the status is sent together with a delta. */
  status?: boolean;
}

type Handler<E> = (state: State, event: E, context: StepContext) => State;

const handlers: {
  [T in PublisherEvent["type"]]: Handler<Extract<PublisherEvent, { type: T }>>;
} = {
  commit: handleCommit,
  status(state, { current, leader }, context) {
    const changed = current !== state.current || leader !== state.leader;
    const next = { ...state, current, leader };
    return changed ? sendAll(next, { ...context, status: true }, all) : next;
  },
  message(state, { from, body }, context) {
    if (body.type === "leave") return removeSubscribers(state, [from]);
    if (body.type !== "subscribe") return state;
    const { now } = context;
    const subscriber = { sent: body.revision, renewed: now, lastSend: now };
    const known = setSubscriber(state, from, subscriber);
    return sendTo(known, from, { ...context, status: true });
  },
  tick: handleTick,
};

function handleCommit(
  state: State,
  { table, written }: Extract<PublisherEvent, { type: "commit" }>,
  { now }: StepContext,
): State {
  const { revision } = table;
  if (revision <= state.table.revision) return state;
  const flushAt = state.flushAt ?? now + BATCH_WINDOW_MS;
  if (written === undefined) {
    return { ...state, table, history: [], from: revision, flushAt };
  }
  const history = [...state.history, { revision, written }];
  return trimHistory({ ...state, table, history, flushAt });
}

/** Drops the oldest changes until the history is within its bounds. */
function trimHistory(state: State): State {
  let { history, from } = state;
  let cells = history.reduce((sum, { written }) => sum + written.length, 0);
  while (cells > MAX_HISTORY_CELLS || history.length > MAX_HISTORY_EDITS) {
    const [first, ...rest] = history;
    cells -= first.written.length;
    from = first.revision;
    history = rest;
  }
  return { ...state, history, from };
}

function handleTick(
  state: State,
  _event: unknown,
  context: StepContext,
): State {
  const { now } = context;
  const silent = [...state.subscribers].filter(([, { renewed }]) =>
    now >= renewed + SUBSCRIPTION_TTL_MS
  ).map(([host]) => host);
  const known = removeSubscribers(state, silent);
  const flush = known.flushAt !== undefined && now >= known.flushAt;
  const next = flush ? { ...known, flushAt: undefined } : known;
  return sendAll(
    next,
    context,
    ({ lastSend, sent }) =>
      now >= lastSend + KEEPALIVE_INTERVAL_MS ||
      (flush && sent < state.table.revision),
  );
}

function sendAll(
  state: State,
  context: StepContext,
  due: (subscriber: Subscriber) => boolean,
): State {
  let next = state;
  for (const [host, subscriber] of state.subscribers) {
    if (due(subscriber)) next = sendTo(next, host, context);
  }
  return next;
}

/** Sends a subscriber the changes it lacks, or a keepalive if it lacks none. */
function sendTo(state: State, to: string, context: StepContext): State {
  const { now, effects, status = false } = context;
  const subscriber = state.subscribers.get(to)!;
  for (const body of messagesFor(state, { sent: subscriber.sent, status })) {
    effects.push({ type: "send", to, body });
  }
  const sent = Math.max(subscriber.sent, state.table.revision);
  return setSubscriber(state, to, { ...subscriber, sent, lastSend: now });
}

function messagesFor(
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

function setSubscriber(
  state: State,
  host: string,
  subscriber: Subscriber,
): State {
  const subscribers = new Map(state.subscribers).set(host, subscriber);
  return { ...state, subscribers };
}

function removeSubscribers(state: State, hosts: readonly string[]): State {
  if (hosts.length === 0) return state;
  const subscribers = new Map(state.subscribers);
  for (const host of hosts) subscribers.delete(host);
  return { ...state, subscribers };
}

function wakeTime({ subscribers, flushAt }: State): number | undefined {
  let at = flushAt ?? Infinity;
  for (const { lastSend, renewed } of subscribers.values()) {
    at = Math.min(
      at,
      lastSend + KEEPALIVE_INTERVAL_MS,
      renewed + SUBSCRIPTION_TTL_MS,
    );
  }
  return at === Infinity ? undefined : at;
}
