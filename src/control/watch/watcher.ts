/** Watches the table through a publisher. The revision of the table never
 * decreases, also when the watcher switches to another publisher.
 * @module */

import type * as schema from "../../schema/watch_types.ts";
import * as table from "../table/mod.ts";
import * as message from "./snapshot.ts";
import * as publisher from "./publisher.ts";

/** Time without confirmed contact with the quorum after which the watcher
 * switches to another publisher: two keepalives in a row must be missed, and a
 * change still arrives within 2 s. */
export const SILENCE_TIMEOUT_MS = 2 * publisher.KEEPALIVE_INTERVAL_MS + 200;
/** Time between renewals of the subscription. */
const RENEW_INTERVAL_MS = 2000;
/** Minimum time between requests for missing changes: a snapshot gets this long
 * to arrive, so that one gap costs one snapshot. */
const REREQUEST_INTERVAL_MS = 300;
/** A tick that is late by this much shows that this host itself was paused. The
 * watcher then waits this long once, to handle the messages that have queued
 * up, before it takes the publisher for silent. */
const PAUSE_THRESHOLD_MS = 300;

/** Input of a watcher. */
export type WatcherEvent =
  | { type: "start" }
  | { type: "message"; from: string; body: schema.Message }
  /** The publishers, in order of preference, have changed. */
  | { type: "publishers"; publishers: readonly string[] }
  | { type: "tick" };

/** Action that a watcher requests. */
export type WatcherEffect =
  | { type: "send"; to: string; body: schema.Message }
  | { type: "wake"; at: number }
  /** The table has a newer revision; `written` is absent after a snapshot. */
  | { type: "table"; table: table.Table; written?: readonly table.CellWrite[] }
  /** The watcher has switched publishers: the connection to the former one may
   * be dead and is to be replaced. */
  | { type: "redial"; from: string; to: string }
  | { type: "status"; current: boolean; leader?: string };

/** A watcher after an event, and the actions it requests. */
export interface WatcherStep {
  watcher: Watcher;
  effects: WatcherEffect[];
}

interface State {
  publishers: readonly string[];
  /** Position of the current publisher. */
  pos: number;
  table: table.Table;
  /** When that publisher last showed that it is in contact with the quorum. */
  heard: number;
  renewed: number;
  /** Whether the silence timeout was already extended once because this host
   * was paused. */
  excused: boolean;
  /** Received parts of an incomplete snapshot. */
  parts: readonly schema.Snapshot[];
  current: boolean;
  leader?: string;
}

/** Immutable state machine of a watcher. */
export class Watcher {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Creates a watcher of `publishers`, which are in order of preference;
   * `first` is its initial table. */
  static create(
    publishers: readonly string[],
    first = table.Table.create(),
  ): Watcher {
    return new Watcher({
      publishers,
      pos: 0,
      table: first,
      heard: 0,
      renewed: 0,
      excused: false,
      parts: [],
      current: false,
    });
  }

  /** The newest table received. */
  get table(): table.Table {
    return this.#state.table;
  }

  /** Whether the publisher is in contact with the quorum. */
  get current(): boolean {
    return this.#state.current;
  }

  /** Leader of the log, if known. */
  get leader(): string | undefined {
    return this.#state.leader;
  }

  /** Handles `event` at `now`; the effect `wake` requests a `tick` at its
   * time. */
  step(event: WatcherEvent, now: number): WatcherStep {
    const effects: WatcherEffect[] = [];
    const handler = handlers[event.type] as Handler<WatcherEvent>;
    const state = handler(this.#state, event, { now, effects });
    if (state.publishers.length > 0) {
      const at = Math.min(
        state.heard + SILENCE_TIMEOUT_MS,
        state.renewed + RENEW_INTERVAL_MS,
      );
      effects.push({ type: "wake", at });
    }
    return { watcher: new Watcher(state), effects };
  }

  /** Returns the state for a dump. */
  dump(): unknown {
    const { publishers, pos, table, parts, ...rest } = this.#state;
    return {
      ...rest,
      publisher: publishers[pos],
      revision: table.revision,
      parts: parts.length,
    };
  }
}

interface StepContext {
  now: number;
  effects: WatcherEffect[];
}

type Handler<E> = (state: State, event: E, context: StepContext) => State;

const handlers: {
  [T in WatcherEvent["type"]]: Handler<Extract<WatcherEvent, { type: T }>>;
} = {
  start: (state, _event, context) =>
    subscribe({ ...state, heard: context.now }, context),
  message(state, { from, body }, context) {
    const take = messageHandlers[body.type] as Handler<Message> | undefined;
    return take === undefined ? state : take(state, { from, body }, context);
  },
  publishers(state, { publishers }, context) {
    const kept = publishers.indexOf(state.publishers[state.pos]);
    if (kept >= 0) return { ...state, publishers, pos: kept };
    const heard = context.now;
    return subscribe({ ...state, publishers, pos: 0, heard }, context);
  },
  tick(state, _event, context) {
    if (state.publishers.length === 0) return state;
    const over = context.now - (state.heard + SILENCE_TIMEOUT_MS);
    if (over >= PAUSE_THRESHOLD_MS && !state.excused) {
      return {
        ...state,
        heard: context.now - SILENCE_TIMEOUT_MS + PAUSE_THRESHOLD_MS,
        excused: true,
      };
    }
    if (over >= 0) return switchPublisher(state, context);
    if (context.now >= state.renewed + RENEW_INTERVAL_MS) {
      return subscribe(state, context);
    }
    return state;
  },
};

interface Message<B = schema.Message> {
  from: string;
  body: B;
}

const messageHandlers: {
  [T in schema.Message["type"]]?: Handler<
    Message<Extract<schema.Message, { type: T }>>
  >;
} = { alive: handleAlive, delta: handleDelta, snapshot: handleSnapshot };

function handleAlive(
  state: State,
  { from, body }: Message<schema.Alive>,
  context: StepContext,
): State {
  if (from !== state.publishers[state.pos]) return state;
  const { current, leader, revision } = body;
  const heard = current ? context.now : state.heard;
  const excused = !current && state.excused;
  const status = { current, leader };
  const next = changeStatus({ ...state, heard, excused }, status, context);
  const isBehind = revision > state.table.revision && state.parts.length === 0;
  return isBehind ? requestMissing(next, context) : next;
}

function handleDelta(
  state: State,
  { from, body }: Message<schema.Delta>,
  context: StepContext,
): State {
  const heard = from === state.publishers[state.pos] && state.current
    ? context.now
    : state.heard;
  const own = state.table.revision;
  // A delta may overlap the table: cells that are not newer are skipped.
  if (body.revision <= own) return { ...state, heard };
  if (body.from > own) return requestMissing({ ...state, heard }, context);
  const all = body.written as table.CellWrite[];
  const written = all.filter(({ version }) => version > own);
  const updated = state.table.applyWrites(body.revision, written);
  context.effects.push({ type: "table", table: updated, written });
  return { ...state, heard, table: updated };
}

function handleSnapshot(
  state: State,
  { from, body }: Message<schema.Snapshot>,
  context: StepContext,
): State {
  const heard = from === state.publishers[state.pos] && state.current
    ? context.now
    : state.heard;
  if (body.revision <= state.table.revision) {
    return { ...state, heard, parts: [] };
  }
  const parts = state.parts.filter(({ revision, part }) =>
    revision === body.revision && part !== body.part
  ).concat(body);
  if (parts.length < body.parts) return { ...state, heard, parts };
  const snapshot = message.tableOf(parts);
  context.effects.push({ type: "table", table: snapshot });
  return { ...state, heard, table: snapshot, parts: [] };
}

function switchPublisher(state: State, context: StepContext): State {
  const from = state.publishers[state.pos];
  const pos = (state.pos + 1) % state.publishers.length;
  const to = state.publishers[pos];
  context.effects.push(
    { type: "send", to: from, body: { type: "leave" } },
    { type: "redial", from, to },
  );
  const next = { ...state, pos, heard: context.now, parts: [] };
  const status = { current: false, leader: state.leader };
  return subscribe(changeStatus(next, status, context), context);
}

/** Subscribes again to get the missing changes, unless that was done less than
 * `REREQUEST_INTERVAL_MS` ago. */
function requestMissing(state: State, context: StepContext): State {
  return context.now < state.renewed + REREQUEST_INTERVAL_MS
    ? state
    : subscribe(state, context);
}

function subscribe(state: State, { now, effects }: StepContext): State {
  const to = state.publishers[state.pos];
  if (to === undefined) return state;
  const { revision } = state.table;
  effects.push({ type: "send", to, body: { type: "subscribe", revision } });
  return { ...state, renewed: now };
}

function changeStatus(
  state: State,
  { current, leader }: { current: boolean; leader?: string },
  { effects }: StepContext,
): State {
  if (current === state.current && leader === state.leader) return state;
  effects.push({ type: "status", current, leader });
  return { ...state, current, leader };
}
