/** Allocator of fleet-wide limits: leases shares to hosts. Runs on the host that
 * holds the control lease, whose term distinguishes successive allocators.
 * @module */

import type * as schema from "../schema/shares_types.ts";
import * as claims from "./claim.ts";
import * as divisions from "./division.ts";
import * as limits from "./limit.ts";

/** Time between two rounds of grants. */
export const ROUND_INTERVAL_MS = 1000;
/** Length of a lease, from the time at which the host sent its report. */
export const LEASE_MS = 4000;
/** Maximum difference in the rates of two clocks. */
export const MAX_CLOCK_DRIFT_RATIO = 0.02;
/** Number of answered reports per host that a later report may be a delta of. */
const MAX_BASES = 8;
/** Margin after the end of a lease before its share is granted again. */
export const LEASE_MARGIN_MS = 100;

/** Input of an allocator. */
export type Event =
  /** This host holds the control lease of `term` until `until` by its clock;
   * repeated whenever the lease is renewed. */
  | { type: "lead"; term: number; until: number }
  /** This host has lost the control lease. */
  | { type: "yield" }
  | { type: "limits"; limits: readonly limits.Limit[] }
  /** Number of hosts that may be running, including those considered dead. */
  | { type: "hosts"; count: number }
  | { type: "message"; from: string; body: schema.SharesMessage }
  | { type: "wake" };

/** Action that an allocator requests. */
export type Effect =
  | { type: "send"; to: string; body: schema.SharesMessage }
  | { type: "wake"; at: number };

/** The state after an event, and the actions it requests. */
export interface Result {
  state: Allocator;
  effects: Effect[];
}

interface State {
  readonly term: number | undefined;
  /** End of the control lease. */
  readonly until: number;
  readonly limits: readonly limits.Limit[];
  readonly hosts: number;
  readonly clients: ReadonlyMap<string, divisions.Client>;
  readonly number: number;
  /** Time until which leases of the previous allocator may be valid. */
  readonly waitUntil: number;
  readonly nextRound: number;
}

interface Step {
  state: State;
  effects: Effect[];
  now: number;
}

const IDLE: State = {
  term: undefined,
  until: 0,
  limits: [],
  hosts: 1,
  clients: new Map(),
  number: 0,
  waitUntil: 0,
  nextRound: Infinity,
};

/** Immutable state machine of an allocator. */
export class Allocator {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Creates an allocator that does not hold the control lease. */
  static create(): Allocator {
    return new Allocator(IDLE);
  }

  /** Handles an event at `now`, in milliseconds of a monotonic clock. */
  step(event: Event, now: number): Result {
    const step: Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as (step: Step, event: Event) => void;
    handler(step, event);
    const moved = step.state.nextRound !== this.#state.nextRound;
    if (moved || event.type === "wake") {
      step.effects.push({ type: "wake", at: step.state.nextRound });
    }
    return { state: new Allocator(step.state), effects: step.effects };
  }

  /** Returns the state for a dump. */
  toJSON(): object {
    const { term, hosts, clients, waitUntil } = this.#state;
    return { term, hosts, waitUntil, clients: Object.fromEntries(clients) };
  }
}

type Handlers = {
  [K in Event["type"]]: (
    step: Step,
    event: Extract<Event, { type: K }>,
  ) => void;
};

const handlers: Handlers = {
  lead: (step, { term, until }) => {
    const { limits, hosts } = step.state;
    if (term === step.state.term) {
      step.state = { ...step.state, until };
      return;
    }
    const waitUntil = step.now + maxLeaseTime();
    const nextRound = step.now + ROUND_INTERVAL_MS;
    step.state = { ...IDLE, limits, hosts, term, until, waitUntil, nextRound };
  },
  yield: (step) => {
    const { limits, hosts } = step.state;
    step.state = { ...IDLE, limits, hosts };
  },
  limits: (step, { limits }) => {
    step.state = { ...step.state, limits };
  },
  hosts: (step, { count }) => {
    step.state = { ...step.state, hosts: count };
  },
  message: (step, { from, body }) => {
    if (body.type === "report") handleReport(step, from, body);
  },
  wake: (step) => {
    if (step.now < step.state.nextRound) return;
    if (step.now < step.state.until) runRound(step);
    step.state = { ...step.state, nextRound: step.now + ROUND_INTERVAL_MS };
  },
};

/** Returns the time after which a lease granted now has expired by any clock. */
function maxLeaseTime(): number {
  return LEASE_MS * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS;
}

function handleReport(step: Step, from: string, report: schema.Report): void {
  const { state, now } = step;
  if (report.term !== state.term) return sendTerm(step, from);
  const known = state.clients.get(from);
  const outstanding = (known?.outstanding ?? []).filter((grant) => {
    return grant.number >= report.applied;
  });
  const bases = known?.bases ?? new Map<number, claims.Claims>();
  const { like = 0 } = report;
  const base = report.like === undefined ? new Map() : bases.get(report.like);
  // The base is no longer stored: without an answer the host will send all rows.
  if (base === undefined) return;
  const client: divisions.Client = {
    report: report.number,
    applied: report.applied,
    claims: claims.applyRows(base, report.rows),
    bases: new Map([...bases].filter(([number]) => number >= like)),
    reportedAt: now,
    answered: false,
    outstanding,
  };
  const clients = new Map(state.clients).set(from, client);
  step.state = { ...state, clients };
}

/** Sends the present term to a host whose report has another one. */
function sendTerm({ state, effects, now }: Step, to: string): void {
  const { term, until } = state;
  if (term === undefined || now >= until) return;
  effects.push({ type: "send", to, body: { type: "lead", term } });
}

/** Divides all limits and answers the reports since the last round. */
function runRound(step: Step): void {
  const { state, now } = step;
  const clients = new Map<string, divisions.Client>();
  for (const [host, client] of state.clients) {
    const outstanding = client.outstanding.filter(({ until }) => until > now);
    const gone = outstanding.length === 0 && now - client.reportedAt > LEASE_MS;
    if (!gone) clients.set(host, { ...client, outstanding });
  }
  const granted = new Map<string, Map<string, number>>();
  const waiting = now < state.waitUntil;
  for (const limit of state.limits) {
    const division = { clients, granted, hosts: state.hosts, waiting };
    divisions.divide(limit, division);
  }
  const number = state.number + 1;
  for (const [host, client] of clients) {
    if (client.answered) continue;
    const extras = granted.get(host) ?? new Map<string, number>();
    clients.set(host, sendGrant(step, { host, client, extras, number }));
  }
  step.state = { ...state, clients, number };
}

function sendGrant(
  step: Step,
  { host, client, extras, number }: {
    host: string;
    client: divisions.Client;
    extras: divisions.Extras;
    number: number;
  },
): divisions.Client {
  const { state, now } = step;
  const { report, applied } = client;
  const term = state.term!;
  const type = "grant";
  const head = { type, number, term, report, lease: LEASE_MS } as const;
  const last = client.outstanding.find((grant) => grant.number === applied);
  const rows = changedShares(state, extras, last?.extras ?? new Map());
  const body: schema.Grant = last === undefined
    ? { ...head, rows }
    : { ...head, like: applied, ...(rows.length > 0 ? { rows } : {}) };
  step.effects.push({ type: "send", to: host, body });
  const outstanding = [
    ...client.outstanding,
    { number, extras, until: now + maxLeaseTime() },
  ];
  const recent = [...client.bases].slice(1 - MAX_BASES);
  const bases = new Map(recent).set(report, client.claims);
  return { ...client, answered: true, outstanding, bases };
}

/** Returns the shares that differ from those of the grant that the host has
 * applied. */
function changedShares(
  { limits: all }: State,
  extras: divisions.Extras,
  known: divisions.Extras,
): schema.Share[] {
  const shares = all.flatMap(({ row, column }): schema.Share[] => {
    const key = limits.keyOf({ row, column });
    const extra = extras.get(key) ?? 0;
    return extra === (known.get(key) ?? 0) ? [] : [{ row, column, extra }];
  });
  return shares;
}
