/** Holder of shares of fleet-wide limits at one host. A share consists of a base
 * that the host always has and an extra part that the allocator leases to it.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/shares_types.ts";
import * as claims from "./claim.ts";
import * as limits from "./limit.ts";

/** Minimum time between two reports. */
export const REPORT_INTERVAL_MS = 1000;
/** Maximum age of the report that a new one is a delta of: the allocator may
 * have dropped an older one. */
const MAX_BASE_AGE_MS = 2500;
/** Number of sent reports that are remembered. */
const MAX_SENT_REPORTS = 16;

/** Amount of a limit that a host could use if there were no other hosts. */
export interface Demand {
  row: string;
  column: schema.LimitColumn;
  /** Arriving requests per second, or requests in flight and waiting. */
  demand: number;
  /** Requests in flight, for a limit on concurrency. */
  inFlight?: number;
}

/** Amount of a limit that a host may use. */
export interface Share {
  row: string;
  column: schema.LimitColumn;
  share: number;
}

/** Input of a holder. */
export type Event =
  | { type: "limits"; limits: readonly limits.Limit[] }
  /** Number of hosts that may be running, including those considered dead. */
  | { type: "hosts"; count: number }
  /** The host that is known to hold the control lease. */
  | { type: "allocator"; host: string; term: number }
  /** As `allocator`, without the term: the allocator sends its term in reply to
   * a report. */
  | { type: "leader"; host: string }
  /** Demand on all limits; expected at least every `REPORT_INTERVAL_MS`. */
  | { type: "demand"; demands: readonly Demand[] }
  | { type: "message"; from: string; body: schema.SharesMessage }
  | { type: "wake" };

/** Action that a holder requests. */
export type Effect =
  | { type: "send"; to: string; body: schema.SharesMessage }
  /** All shares, after a change of any of them. */
  | { type: "notify"; shares: readonly Share[] }
  | { type: "wake"; at: number };

/** Options of a `Holder`. */
export interface Options {
  /** Number of hosts that may be running. */
  hosts: number;
  /** Source of the number of the first report, so that a grant to an earlier run
   * of this host is not taken for one to this run. */
  random: runtime.Random;
}

/** The state after an event, and the actions it requests. */
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
  /** Demand of the last event `demand`. */
  readonly demands: readonly Demand[];
  /** Recent reports of this term, by number. */
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

/** Immutable state machine of a holder. */
export class Holder {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Creates a holder for a host that has just started. */
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

  /** Handles an event at `now`, in milliseconds of a monotonic clock. */
  step(event: Event, now: number): Result {
    const step: Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as (step: Step, event: Event) => void;
    handler(step, event);
    updateShares(step);
    return { state: new Holder(step.state), effects: step.effects };
  }

  /** Share of each limit that this host may use. */
  get shares(): readonly Share[] {
    return this.#state.shares;
  }

  /** Returns the state for a dump. */
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
    step.state = { ...step.state, allocator: host, ...startTerm(term) };
  },
  leader: (step, { host }) => {
    if (host === step.state.allocator) return;
    step.state = { ...step.state, allocator: host };
    sendReport(step);
  },
  demand: (step, { demands }) => {
    step.state = { ...step.state, demands };
    if (step.now - step.state.reportedAt >= REPORT_INTERVAL_MS) {
      sendReport(step);
    }
  },
  message: (step, { from, body }) => {
    if (body.type === "grant") applyGrant(step, body);
    if (body.type !== "lead" || from !== step.state.allocator) return;
    const { term } = body;
    if (term <= step.state.term) return;
    step.state = { ...step.state, ...startTerm(term) };
    sendReport(step);
  },
  wake: () => {},
};

/** Returns the state at the start of a term, when the allocator knows no
 * reports. */
function startTerm(term: number): Pick<State, "term" | "sent" | "answered"> {
  return { term, sent: new Map(), answered: undefined };
}

function sendReport(step: Step): void {
  const { state, now } = step;
  const { lease, allocator, answered } = state;
  if (allocator === undefined) return;
  const all = claimsOf(state, now);
  const idle = all.size === 0 && answered?.claims.size === 0;
  if (idle) return;
  const number = state.number + 1;
  const recent = [...state.sent].slice(1 - MAX_SENT_REPORTS);
  step.state = {
    ...state,
    number,
    reportedAt: now,
    sent: new Map(recent).set(number, { at: now, claims: all }),
  };
  const base = answered !== undefined && now - answered.at < MAX_BASE_AGE_MS
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

/** Returns the claims on the limits whose base may not suffice. */
function claimsOf(state: State, now: number): claims.Claims {
  const { limits, hosts, demands, answered } = state;
  return claims.create(limits, {
    hosts,
    demands,
    reported: answered?.claims ?? new Map(),
    held: (key) => extraOf(state, { key, now }),
  });
}

/** Applies a grant, unless a newer one was applied or its term is not the
 * present one. */
function applyGrant(step: Step, grant: schema.Grant): void {
  const { state, now } = step;
  const { term, number, report, lease, like } = grant;
  const sent = state.sent.get(report);
  if (term !== state.term || sent === undefined) return;
  const known = state.lease;
  if (known?.term === term && number <= known.number) return;
  const until = sent.at + lease;
  if (until <= now) return;
  const isDelta = known?.term === term && known.number === like;
  if (like !== undefined && !isDelta) return;
  const extras = applyExtras(grant, isDelta ? known.extras : new Map());
  const answered = { ...sent, number: report };
  step.state = { ...state, answered, lease: { term, number, until, extras } };
}

function applyExtras(
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

/** Recomputes the shares, and requests a notification if they have changed. */
function updateShares(step: Step): void {
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
