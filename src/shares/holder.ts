/** Shares of fleet-wide limits at one host: a base that it always has, and
 * what the allocator leases to it beyond.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/shares_types.ts";
import * as claims from "./claim.ts";
import * as limits from "./limit.ts";

/** Least time between two reports. */
export const REPORT_INTERVAL_MS = 1000;
/** A report answered longer ago is not built upon: the allocator may have
 * forgotten it. */
const ANSWER_KEPT = 2500;
/** Reports whose sending time is remembered. */
const REPORTS_KEPT = 16;

/** What a host could use of a limit if it were alone. */
export interface Demand {
  row: string;
  column: schema.LimitColumn;
  /** Requests a second that arrive, or requests in flight and waiting. */
  demand: number;
  /** Requests in flight, for a limit on these. */
  inFlight?: number;
}

/** What a host may use of a limit. */
export interface Share {
  row: string;
  column: schema.LimitColumn;
  share: number;
}

/** What happens to the shares of a host. */
export type Event =
  | { type: "limits"; limits: readonly limits.Limit[] }
  /** Hosts that may be running, those that count as dead included. */
  | { type: "hosts"; count: number }
  /** The host that holds the control lease, as far as known. */
  | { type: "allocator"; host: string; term: number }
  /** As above where the term is not known: the host itself will tell. */
  | { type: "leader"; host: string }
  /** Demand on all limits; to be given at least each `REPORT_INTERVAL`. */
  | { type: "demand"; demands: readonly Demand[] }
  | { type: "message"; from: string; body: schema.SharesMessage }
  | { type: "wake" };

/** What the shell does for the shares of a host. */
export type Effect =
  | { type: "send"; to: string; body: schema.SharesMessage }
  /** All shares, after one has changed. */
  | { type: "notify"; shares: readonly Share[] }
  | { type: "wake"; at: number };

/** What the shares of a host need at the start. */
export interface Options {
  /** Hosts that may be running. */
  hosts: number;
  /** Gives the first number of a report, so that no grant to an earlier run
   * of this host is taken for one to this run. */
  random: runtime.Random;
}

/** Outcome of a step. */
export interface Result {
  state: Holder;
  effects: Effect[];
}

interface Lease {
  term: number;
  number: number;
  until: number;
  extras: ReadonlyMap<string, number>;
}

interface Sent {
  at: number;
  claims: claims.Claims;
}

interface State {
  readonly limits: readonly limits.Limit[];
  readonly hosts: number;
  readonly allocator: string | undefined;
  readonly term: number;
  readonly number: number;
  readonly reportedAt: number;
  /** As last given. */
  readonly demands: readonly Demand[];
  /** Recent reports of this term by number. */
  readonly sent: ReadonlyMap<number, Sent>;
  /** Last report of this term that was answered. */
  readonly answered: (Sent & { number: number }) | undefined;
  readonly lease: Lease | undefined;
  readonly shares: readonly Share[];
}

interface Step {
  state: State;
  effects: Effect[];
  now: number;
}

/** Immutable shares of a host; `step` gives the next ones. */
export class Holder {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Shares of a host that has just started. */
  static create({ hosts, random }: Options): Holder {
    return new Holder({
      limits: [],
      hosts,
      allocator: undefined,
      term: 0,
      number: random.below(2 ** 48),
      reportedAt: -Infinity,
      demands: [],
      sent: new Map(),
      answered: undefined,
      lease: undefined,
      shares: [],
    });
  }

  /** Takes one event at `now`, milliseconds of a monotonic clock. */
  step(event: Event, now: number): Result {
    const step: Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as (step: Step, event: Event) => void;
    handler(step, event);
    settle(step);
    return { state: new Holder(step.state), effects: step.effects };
  }

  /** What this host may use of each limit. */
  get shares(): readonly Share[] {
    return this.#state.shares;
  }

  /** For the state dump. */
  toJSON(): object {
    const { allocator, term, hosts, lease, shares } = this.#state;
    return { allocator, term, hosts, leaseUntil: lease?.until, shares };
  }
}

type Handlers = {
  [K in Event["type"]]: (
    step: Step,
    event: Extract<Event, { type: K }>,
  ) => void;
};

const handlers: Handlers = {
  limits: (step, { limits }) => {
    step.state = { ...step.state, limits };
  },
  hosts: (step, { count }) => {
    step.state = { ...step.state, hosts: count };
  },
  allocator: (step, { host, term }) => {
    if (term <= step.state.term) return;
    step.state = { ...step.state, allocator: host, ...termOf(term) };
  },
  leader: (step, { host }) => {
    if (host === step.state.allocator) return;
    step.state = { ...step.state, allocator: host };
    report(step);
  },
  demand: (step, { demands }) => {
    step.state = { ...step.state, demands };
    if (step.now - step.state.reportedAt >= REPORT_INTERVAL_MS) report(step);
  },
  message: (step, { from, body }) => {
    if (body.type === "grant") apply(step, body);
    if (body.type !== "lead" || from !== step.state.allocator) return;
    const { term } = body;
    if (term <= step.state.term) return;
    step.state = { ...step.state, ...termOf(term) };
    report(step);
  },
  wake: () => {},
};

/** Nothing is known to an allocator at the start of its term. */
function termOf(term: number): Pick<State, "term" | "sent" | "answered"> {
  return { term, sent: new Map(), answered: undefined };
}

function report(step: Step): void {
  const { state, now } = step;
  const { lease, allocator, answered } = state;
  if (allocator === undefined) return;
  const all = claimsOf(state, now);
  const idle = all.size === 0 && answered?.claims.size === 0;
  if (idle) return;
  const number = state.number + 1;
  const recent = [...state.sent].slice(1 - REPORTS_KEPT);
  step.state = {
    ...state,
    number,
    reportedAt: now,
    sent: new Map(recent).set(number, { at: now, claims: all }),
  };
  const base = answered !== undefined && now - answered.at < ANSWER_KEPT
    ? answered
    : undefined;
  const body: schema.Report = {
    type: "report",
    number,
    term: state.term,
    applied: lease?.term === state.term ? lease.number : 0,
    rows: claims.changes(all, base?.claims ?? new Map()),
  };
  if (base !== undefined) body.like = base.number;
  step.effects.push({ type: "send", to: allocator, body });
}

/** Claims on limits of which the base may not be enough. */
function claimsOf(state: State, now: number): claims.Claims {
  const { limits, hosts, demands, answered } = state;
  return claims.create(limits, {
    hosts,
    demands,
    reported: answered?.claims ?? new Map(),
    held: (key) => extraOf(state, { key, now }),
  });
}

/** Puts a grant in force, unless a newer one is or its allocator is old. */
function apply(step: Step, grant: schema.Grant): void {
  const { state, now } = step;
  const { term, number, report, lease, like } = grant;
  const sent = state.sent.get(report);
  if (term !== state.term || sent === undefined) return;
  const known = state.lease;
  if (known?.term === term && number <= known.number) return;
  const until = sent.at + lease;
  if (until <= now) return;
  const follows = known?.term === term && known.number === like;
  if (like !== undefined && !follows) return;
  const extras = extrasOf(grant, follows ? known.extras : new Map());
  const answered = { ...sent, number: report };
  step.state = { ...state, answered, lease: { term, number, until, extras } };
}

function extrasOf(
  { rows = [] }: schema.Grant,
  known: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const extras = new Map(known);
  for (const row of rows) {
    const key = limits.keyOf(row);
    if (row.extra > 0) extras.set(key, row.extra);
    else extras.delete(key);
  }
  return extras;
}

/** Brings the shares up to date and tells the other parts. */
function settle(step: Step): void {
  const { state, now } = step;
  const shares = state.limits.map((limit) => shareOf(state, { limit, now }));
  const changed = shares.length !== state.shares.length ||
    shares.some((share, pos) => !same(share, state.shares[pos]));
  const until = state.lease?.until ?? 0;
  if (until > now) step.effects.push({ type: "wake", at: until });
  if (!changed) return;
  step.state = { ...state, shares };
  step.effects.push({ type: "notify", shares });
}

function shareOf(
  state: State,
  { limit, now }: { limit: limits.Limit; now: number },
): Share {
  const { row, column } = limit;
  const extra = extraOf(state, { key: limits.keyOf(limit), now });
  const share = Math.min(limit.limit, limits.base(limit, state.hosts) + extra);
  return { row, column, share };
}

function extraOf(
  { lease }: State,
  { key, now }: { key: string; now: number },
): number {
  if (lease === undefined || lease.until <= now) return 0;
  return lease.extras.get(key) ?? 0;
}

function same(left: Share, right: Share): boolean {
  return left.row === right.row && left.column === right.column &&
    left.share === right.share;
}
