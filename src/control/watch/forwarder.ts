/** Brings commands from any host to the leader of the replicated log and waits
 * for the answer. Sends again under the same id, which the machine knows, and
 * says `no-quorum` only when no attempt can have been applied.
 * @module */

import type * as command from "../../schema/command_types.ts";
import type * as schema from "../../schema/control_types.ts";
import type * as table from "../table/mod.ts";

/** Milliseconds until a command without an answer is sent again. */
const RESEND = 500;
/** Milliseconds until a refused command is sent again. */
const BACKOFF = 100;
/** Most commands under way; past it new ones fail at once. */
const MOST = 1000;

/** Why a command has no answer; only `unknown` may have taken effect. */
export type Failure = "no-quorum" | "unknown" | "invalid" | "overloaded";

/** What a forwarder hears. */
export type ForwarderEvent =
  | {
    type: "propose";
    command: command.Command;
    /** Milliseconds until it gives up. */
    timeout: number;
  }
  | { type: "message"; from: string; body: schema.ControlMessage }
  /** The leader as far as this host knows. */
  | { type: "leader"; leader?: string }
  | { type: "tick" };

/** What a forwarder asks for. */
export type ForwarderEffect =
  | { type: "send"; to: string; body: schema.ControlMessage }
  | { type: "wake"; at: number }
  | { type: "reply"; id: string; reply: table.Reply }
  | { type: "fail"; id: string; failure: Failure; detail: string };

/** A forwarder after an event, and what it asks for. */
export interface ForwarderStep {
  forwarder: Forwarder;
  effects: ForwarderEffect[];
}

interface Pending {
  readonly command: command.Command;
  readonly deadline: number;
  /** Number of sends so far. */
  readonly attempt: number;
  /** Attempts that may have been or may still be applied. */
  readonly open: readonly number[];
  readonly sendAt: number;
}

interface State {
  /** Hosts that may lead, tried in turn when none is known to. */
  voters: readonly string[];
  pos: number;
  leader?: string;
  pending: ReadonlyMap<string, Pending>;
}

/** Immutable state of a forwarder. */
export class Forwarder {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** A forwarder to `voters`, the hosts that may lead. */
  static create(voters: readonly string[]): Forwarder {
    return new Forwarder({ voters, pos: 0, pending: new Map() });
  }

  /** Number of commands under way. */
  get size(): number {
    return this.#state.pending.size;
  }

  /** Takes in `event` at `now`; a wake asks for a `tick`. */
  step(event: ForwarderEvent, now: number): ForwarderStep {
    const effects: ForwarderEffect[] = [];
    const handler = handlers[event.type] as Handler<ForwarderEvent>;
    const state = handler(this.#state, event, { now, effects });
    const at = wakeTime(state);
    if (at !== undefined) effects.push({ type: "wake", at });
    return { forwarder: new Forwarder(state), effects };
  }

  /** State for people. */
  dump(): unknown {
    const { leader, pending } = this.#state;
    const commands = [...pending].map(([id, { attempt, open }]) => ({
      id,
      attempt,
      open: open.length,
    }));
    return { leader, commands };
  }
}

interface Turn {
  now: number;
  effects: ForwarderEffect[];
}

type Handler<E> = (state: State, event: E, turn: Turn) => State;

const handlers: {
  [T in ForwarderEvent["type"]]: Handler<Extract<ForwarderEvent, { type: T }>>;
} = {
  propose(state, { command, timeout }, turn) {
    const { id } = command;
    const known = state.pending.get(id);
    if (known !== undefined) return state;
    if (state.pending.size >= MOST) {
      const detail = "too many commands are under way";
      turn.effects.push({ type: "fail", id, failure: "overloaded", detail });
      return state;
    }
    const deadline = turn.now + timeout;
    const first = { command, deadline, attempt: 0, open: [], sendAt: 0 };
    return send(state, first, turn);
  },
  message(state, { from, body }, turn) {
    if (body.type !== "result") return state;
    const pending = state.pending.get(body.id);
    if (pending === undefined) return state;
    return statuses[body.status](state, { from, body, pending }, turn);
  },
  leader(state, { leader }, turn) {
    if (leader === undefined || leader === state.leader) return state;
    let next: State = { ...state, leader };
    for (const pending of state.pending.values()) {
      next = send(next, pending, turn);
    }
    return next;
  },
  tick(state, _event, turn) {
    let next = state;
    for (const [id, pending] of state.pending) {
      if (turn.now >= pending.deadline) next = giveUp(next, id, turn);
      else if (turn.now >= pending.sendAt) {
        next = send(rotate(next, pending), pending, turn);
      }
    }
    return next;
  },
};

interface Answer {
  from: string;
  body: schema.Result;
  pending: Pending;
}

const statuses: Record<schema.Result["status"], Handler<Answer>> = {
  applied(state, { body }, { effects }) {
    const { id } = body;
    effects.push({ type: "reply", id, reply: body.reply as table.Reply });
    return drop(state, id);
  },
  "not-leader": takeRefusal,
  "no-quorum": takeRefusal,
  unknown(state, { body, pending }, { now }) {
    return put(state, body.id, { ...pending, sendAt: now + BACKOFF });
  },
  invalid(state, { body }, { effects }) {
    const { id, detail = "" } = body;
    effects.push({ type: "fail", id, failure: "invalid", detail });
    return drop(state, id);
  },
};

/** The attempt was not applied; another may be. */
function takeRefusal(
  state: State,
  { from, body, pending }: Answer,
  turn: Turn,
): State {
  const open = pending.open.filter((attempt) => attempt !== body.attempt);
  const refused = { ...pending, open };
  const { leader } = body;
  const newest = body.attempt === pending.attempt;
  if (leader !== undefined && leader !== from && newest) {
    const next = { ...state, leader };
    // Two hosts that name each other must not be asked in a tight loop.
    if (leader !== state.leader) return send(next, refused, turn);
  }
  const sendAt = newest ? turn.now + BACKOFF : pending.sendAt;
  return put(state, body.id, { ...refused, sendAt });
}

function send(state: State, pending: Pending, turn: Turn): State {
  const { command } = pending;
  const to = state.leader ?? state.voters[state.pos % state.voters.length];
  const attempt = pending.attempt + 1;
  const body = { type: "forward" as const, attempt, command };
  turn.effects.push({ type: "send", to, body });
  return put(state, command.id, {
    ...pending,
    attempt,
    open: [...pending.open, attempt],
    sendAt: turn.now + RESEND,
  });
}

/** Turns to the next voter when the one asked last did not help. */
function rotate(state: State, { attempt }: Pending): State {
  if (attempt === 0) return state;
  return { ...state, leader: undefined, pos: state.pos + 1 };
}

function giveUp(state: State, id: string, { effects }: Turn): State {
  const { open } = state.pending.get(id)!;
  const failure = open.length > 0 ? "unknown" : "no-quorum";
  const detail = open.length > 0
    ? "the leader did not answer in time"
    : "no quorum of control hosts can be reached";
  effects.push({ type: "fail", id, failure, detail });
  return drop(state, id);
}

function put(state: State, id: string, pending: Pending): State {
  return { ...state, pending: new Map(state.pending).set(id, pending) };
}

function drop(state: State, id: string): State {
  const pending = new Map(state.pending);
  pending.delete(id);
  return { ...state, pending };
}

function wakeTime({ pending }: State): number | undefined {
  let at = Infinity;
  for (const { deadline, sendAt } of pending.values()) {
    at = Math.min(at, deadline, sendAt);
  }
  return at === Infinity ? undefined : at;
}
