/** Forwards commands from any host to the leader of the replicated log and
 * waits for the results. Retries use the same command id, which makes them
 * idempotent; the failure `no-quorum` is reported only if no attempt can have
 * been applied.
 * @module */

import type * as command from "../../schema/command_types.ts";
import type * as schema from "../../schema/control_types.ts";
import type * as table from "../table/mod.ts";

/** Time until a command without a result is sent again. */
const RESEND_INTERVAL_MS = 500;
/** Time until a refused command is sent again. */
const BACKOFF_MS = 100;
/** Maximum number of pending commands; past it new ones fail at once. */
const MAX_PENDING = 1000;

/** Why a command has no result; it may have been applied only if the failure is
 * `unknown`. */
export type Failure = "no-quorum" | "unknown" | "invalid" | "overloaded";

/** Input of a forwarder. */
export type ForwarderEvent =
  | {
    type: "propose";
    command: command.Command;
    /** Milliseconds after which the command fails. */
    timeout: number;
  }
  | { type: "message"; from: string; body: schema.ControlMessage }
  /** The leader that this host knows of has changed. */
  | { type: "leader"; leader?: string }
  | { type: "tick" };

/** Action that a forwarder requests. */
export type ForwarderEffect =
  | { type: "send"; to: string; body: schema.ControlMessage }
  | { type: "wake"; at: number }
  | { type: "reply"; id: string; reply: table.Reply }
  | { type: "fail"; id: string; failure: Failure; detail: string };

/** A forwarder after an event, and the actions it requests. */
export interface ForwarderStep {
  forwarder: Forwarder;
  effects: ForwarderEffect[];
}

interface Pending {
  readonly command: command.Command;
  readonly deadline: number;
  /** Number of sends so far. */
  readonly attempt: number;
  /** Attempts that may have been applied or may still be. */
  readonly open: readonly number[];
  readonly sendAt: number;
}

interface State {
  /** Hosts that may be the leader, tried in turn while it is unknown. */
  voters: readonly string[];
  pos: number;
  leader?: string;
  pending: ReadonlyMap<string, Pending>;
}

/** Immutable state machine that forwards commands. */
export class Forwarder {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Creates a forwarder to `voters`, the hosts that may be the leader. */
  static create(voters: readonly string[]): Forwarder {
    return new Forwarder({ voters, pos: 0, pending: new Map() });
  }

  /** Number of pending commands. */
  get size(): number {
    return this.#state.pending.size;
  }

  /** Handles `event` at `now`; the effect `wake` requests a `tick` at its
   * time. */
  step(event: ForwarderEvent, now: number): ForwarderStep {
    const effects: ForwarderEffect[] = [];
    const handler = handlers[event.type] as Handler<ForwarderEvent>;
    const state = handler(this.#state, event, { now, effects });
    const at = wakeTime(state);
    if (at !== undefined) effects.push({ type: "wake", at });
    return { forwarder: new Forwarder(state), effects };
  }

  /** Returns the state for a dump. */
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

interface StepContext {
  now: number;
  effects: ForwarderEffect[];
}

type Handler<E> = (state: State, event: E, context: StepContext) => State;

const handlers: {
  [T in ForwarderEvent["type"]]: Handler<Extract<ForwarderEvent, { type: T }>>;
} = {
  propose(state, { command, timeout }, context) {
    const { id } = command;
    const known = state.pending.get(id);
    if (known !== undefined) return state;
    if (state.pending.size >= MAX_PENDING) {
      const detail = "too many commands are under way";
      context.effects.push({ type: "fail", id, failure: "overloaded", detail });
      return state;
    }
    const deadline = context.now + timeout;
    const first = { command, deadline, attempt: 0, open: [], sendAt: 0 };
    return send(state, first, context);
  },
  message(state, { from, body }, context) {
    if (body.type !== "result") return state;
    const pending = state.pending.get(body.id);
    if (pending === undefined) return state;
    return resultHandlers[body.status](state, { from, body, pending }, context);
  },
  leader(state, { leader }, context) {
    if (leader === undefined || leader === state.leader) return state;
    let next: State = { ...state, leader };
    for (const pending of state.pending.values()) {
      next = send(next, pending, context);
    }
    return next;
  },
  tick(state, _event, context) {
    let next = state;
    for (const [id, pending] of state.pending) {
      if (context.now >= pending.deadline) {
        next = failPending(next, id, context);
      } else if (context.now >= pending.sendAt) {
        next = send(nextVoter(next, pending), pending, context);
      }
    }
    return next;
  },
};

interface PendingResult {
  from: string;
  body: schema.Result;
  pending: Pending;
}

const resultHandlers: Record<schema.Result["status"], Handler<PendingResult>> =
  {
    applied(state, { body }, { effects }) {
      const { id } = body;
      effects.push({ type: "reply", id, reply: body.reply as table.Reply });
      return removePending(state, id);
    },
    "not-leader": handleRefusal,
    "no-quorum": handleRefusal,
    unknown(state, { body, pending }, { now }) {
      return setPending(state, body.id, {
        ...pending,
        sendAt: now + BACKOFF_MS,
      });
    },
    invalid(state, { body }, { effects }) {
      const { id, detail = "" } = body;
      effects.push({ type: "fail", id, failure: "invalid", detail });
      return removePending(state, id);
    },
  };

/** Handles a result that rules out that its attempt was applied; other attempts
 * may be applied still. */
function handleRefusal(
  state: State,
  { from, body, pending }: PendingResult,
  context: StepContext,
): State {
  const open = pending.open.filter((attempt) => attempt !== body.attempt);
  const refused = { ...pending, open };
  const { leader } = body;
  const newest = body.attempt === pending.attempt;
  if (leader !== undefined && leader !== from && newest) {
    const next = { ...state, leader };
    // Two hosts that each report the other as the leader must not cause retries
    // in a tight loop.
    if (leader !== state.leader) return send(next, refused, context);
  }
  const sendAt = newest ? context.now + BACKOFF_MS : pending.sendAt;
  return setPending(state, body.id, { ...refused, sendAt });
}

function send(state: State, pending: Pending, context: StepContext): State {
  const { command } = pending;
  const to = state.leader ?? state.voters[state.pos % state.voters.length];
  const attempt = pending.attempt + 1;
  const body = { type: "forward" as const, attempt, command };
  context.effects.push({ type: "send", to, body });
  return setPending(state, command.id, {
    ...pending,
    attempt,
    open: [...pending.open, attempt],
    sendAt: context.now + RESEND_INTERVAL_MS,
  });
}

/** Selects the next voter if an attempt at the last one got no result. */
function nextVoter(state: State, { attempt }: Pending): State {
  if (attempt === 0) return state;
  return { ...state, leader: undefined, pos: state.pos + 1 };
}

function failPending(
  state: State,
  id: string,
  { effects }: StepContext,
): State {
  const { open } = state.pending.get(id)!;
  const failure = open.length > 0 ? "unknown" : "no-quorum";
  const detail = open.length > 0
    ? "the leader did not answer in time"
    : "no quorum of control hosts can be reached";
  effects.push({ type: "fail", id, failure, detail });
  return removePending(state, id);
}

function setPending(state: State, id: string, pending: Pending): State {
  return { ...state, pending: new Map(state.pending).set(id, pending) };
}

function removePending(state: State, id: string): State {
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
