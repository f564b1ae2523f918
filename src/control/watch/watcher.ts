/** Follows the table from a host without the replicated log. What it has is
 * never exchanged for something older, whichever publisher it listens to.
 * @module */

import type * as schema from "../../schema/watch_types.ts";
import * as table from "../table/mod.ts";
import * as message from "./snapshot.ts";
import * as publisher from "./publisher.ts";

/** Milliseconds without word from the quorum after which another publisher is
 * tried: two keepalives may be lost, and the change still arrives in 2 s. */
export const SILENCE_TIMEOUT_MS = 2 * publisher.KEEPALIVE_INTERVAL_MS + 200;
/** Milliseconds between renewals of the watch. */
const RENEW = 2000;
/** Milliseconds between requests for what is missing: what was asked for is
 * given this long to arrive, so that one gap costs one snapshot. */
const ASK_AGAIN = 300;
/** Milliseconds by which a tick that comes later shows that this host itself
 * has paused, and that are then left to read what waits. */
const LATE = 300;

/** What a watcher hears. */
export type WatcherEvent =
  | { type: "start" }
  | { type: "message"; from: string; body: schema.Message }
  /** Publishers in order of preference, when they have changed. */
  | { type: "publishers"; publishers: readonly string[] }
  | { type: "tick" };

/** What a watcher asks for. */
export type WatcherEffect =
  | { type: "send"; to: string; body: schema.Message }
  | { type: "wake"; at: number }
  /** The table moved on; `written` is absent after a snapshot. */
  | { type: "table"; table: table.Table; written?: readonly table.CellWrite[] }
  /** Another publisher is tried: a connection to the former may be dead. */
  | { type: "redial"; from: string; to: string }
  | { type: "status"; current: boolean; leader?: string };

/** A watcher after an event, and what it asks for. */
export interface WatcherStep {
  watcher: Watcher;
  effects: WatcherEffect[];
}

interface State {
  publishers: readonly string[];
  /** Position of the publisher that is listened to. */
  pos: number;
  table: table.Table;
  /** When that publisher last said that it is in touch with the quorum. */
  heard: number;
  renewed: number;
  /** Whether it waited longer once for a pause of its own. */
  excused: boolean;
  /** Parts of a snapshot that is not whole yet. */
  parts: readonly schema.Snapshot[];
  current: boolean;
  leader?: string;
}

/** Immutable state of a watcher. */
export class Watcher {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** A watcher of `publishers`, in order of preference; `first` is what it
   * has. */
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

  /** The newest table that it has. */
  get table(): table.Table {
    return this.#state.table;
  }

  /** Whether its publisher is in touch with the quorum. */
  get current(): boolean {
    return this.#state.current;
  }

  /** Host that takes edits, if known. */
  get leader(): string | undefined {
    return this.#state.leader;
  }

  /** Takes in `event` at `now`; a wake asks for a `tick`. */
  step(event: WatcherEvent, now: number): WatcherStep {
    const effects: WatcherEffect[] = [];
    const handler = handlers[event.type] as Handler<WatcherEvent>;
    const state = handler(this.#state, event, { now, effects });
    if (state.publishers.length > 0) {
      const at = Math.min(
        state.heard + SILENCE_TIMEOUT_MS,
        state.renewed + RENEW,
      );
      effects.push({ type: "wake", at });
    }
    return { watcher: new Watcher(state), effects };
  }

  /** State for people. */
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

interface Turn {
  now: number;
  effects: WatcherEffect[];
}

type Handler<E> = (state: State, event: E, turn: Turn) => State;

const handlers: {
  [T in WatcherEvent["type"]]: Handler<Extract<WatcherEvent, { type: T }>>;
} = {
  start: (state, _event, turn) =>
    subscribe({ ...state, heard: turn.now }, turn),
  message(state, { from, body }, turn) {
    const take = takers[body.type] as Handler<Message> | undefined;
    return take === undefined ? state : take(state, { from, body }, turn);
  },
  publishers(state, { publishers }, turn) {
    const kept = publishers.indexOf(state.publishers[state.pos]);
    if (kept >= 0) return { ...state, publishers, pos: kept };
    const heard = turn.now;
    return subscribe({ ...state, publishers, pos: 0, heard }, turn);
  },
  tick(state, _event, turn) {
    if (state.publishers.length === 0) return state;
    const over = turn.now - (state.heard + SILENCE_TIMEOUT_MS);
    if (over >= LATE && !state.excused) {
      return {
        ...state,
        heard: turn.now - SILENCE_TIMEOUT_MS + LATE,
        excused: true,
      };
    }
    if (over >= 0) return redial(state, turn);
    if (turn.now >= state.renewed + RENEW) return subscribe(state, turn);
    return state;
  },
};

interface Message<B = schema.Message> {
  from: string;
  body: B;
}

const takers: {
  [T in schema.Message["type"]]?: Handler<
    Message<Extract<schema.Message, { type: T }>>
  >;
} = { alive: takeAlive, delta: takeDelta, snapshot: takeSnapshot };

function takeAlive(
  state: State,
  { from, body }: Message<schema.Alive>,
  turn: Turn,
): State {
  if (from !== state.publishers[state.pos]) return state;
  const { current, leader, revision } = body;
  const heard = current ? turn.now : state.heard;
  const excused = !current && state.excused;
  const status = { current, leader };
  const next = changeStatus({ ...state, heard, excused }, status, turn);
  const lacking = revision > state.table.revision && state.parts.length === 0;
  return lacking ? ask(next, turn) : next;
}

function takeDelta(
  state: State,
  { from, body }: Message<schema.Delta>,
  turn: Turn,
): State {
  const heard = from === state.publishers[state.pos] && state.current
    ? turn.now
    : state.heard;
  const own = state.table.revision;
  // What overlaps is left out by the versions of its cells.
  if (body.revision <= own) return { ...state, heard };
  if (body.from > own) return ask({ ...state, heard }, turn);
  const all = body.written as table.CellWrite[];
  const written = all.filter(({ version }) => version > own);
  const moved = state.table.applyWrites(body.revision, written);
  turn.effects.push({ type: "table", table: moved, written });
  return { ...state, heard, table: moved };
}

function takeSnapshot(
  state: State,
  { from, body }: Message<schema.Snapshot>,
  turn: Turn,
): State {
  const heard = from === state.publishers[state.pos] && state.current
    ? turn.now
    : state.heard;
  if (body.revision <= state.table.revision) {
    return { ...state, heard, parts: [] };
  }
  const parts = state.parts.filter(({ revision, part }) =>
    revision === body.revision && part !== body.part
  ).concat(body);
  if (parts.length < body.parts) return { ...state, heard, parts };
  const whole = message.tableOf(parts);
  turn.effects.push({ type: "table", table: whole });
  return { ...state, heard, table: whole, parts: [] };
}

function redial(state: State, turn: Turn): State {
  const from = state.publishers[state.pos];
  const pos = (state.pos + 1) % state.publishers.length;
  const to = state.publishers[pos];
  turn.effects.push(
    { type: "send", to: from, body: { type: "leave" } },
    { type: "redial", from, to },
  );
  const next = { ...state, pos, heard: turn.now, parts: [] };
  const status = { current: false, leader: state.leader };
  return subscribe(changeStatus(next, status, turn), turn);
}

/** Asks for what is missing, unless that was just done. */
function ask(state: State, turn: Turn): State {
  return turn.now < state.renewed + ASK_AGAIN ? state : subscribe(state, turn);
}

function subscribe(state: State, { now, effects }: Turn): State {
  const to = state.publishers[state.pos];
  if (to === undefined) return state;
  const { revision } = state.table;
  effects.push({ type: "send", to, body: { type: "subscribe", revision } });
  return { ...state, renewed: now };
}

function changeStatus(
  state: State,
  { current, leader }: { current: boolean; leader?: string },
  { effects }: Turn,
): State {
  if (current === state.current && leader === state.leader) return state;
  effects.push({ type: "status", current, leader });
  return { ...state, current, leader };
}
