/** Rate and concurrency limits by the cells of the table, for this host's
 * share of the fleet's limits. What passes no limit is refused at once.
 * @module */

import type * as request from "../request/mod.ts";
import type * as weight from "./weight.ts";

/** Answer of the limits; `row` is the row that refused. */
export type Decision =
  | { type: "admit" }
  | { type: "refuse"; row: string; retryAfter?: number };

/** Milliseconds of its rate that a row may save up for a burst. */
const BURST = 1000;

/** Share that one holding time has in the running mean. */
const HOLDING_STEP = 0.1;

/** Least `Retry-After`, milliseconds. */
const LEAST_RETRY_AFTER = 10;

/** Rows that nothing was asked of for so long are forgotten, milliseconds. */
const FORGET_AFTER = 60_000;

/** Rows looked at for each decision, to forget old ones. */
const SWEEP = 2;

interface Row {
  tokens: number;
  /** When `tokens` was brought up to date. */
  at: number;
  inFlight: number;
  /** Mean milliseconds that a request is in flight; 0 before the first. */
  holding: number;
}

/** Limits of all rows; `take` and `release` change it in place. */
export class RequestLimiter {
  #policies: request.Policies;
  readonly #rows = new Map<string, Row>();
  #sweep: Iterator<[string, Row]>;

  private constructor(policies: request.Policies) {
    this.#policies = policies;
    this.#sweep = this.#rows.entries();
  }

  static create(policies: request.Policies = new Map()): RequestLimiter {
    return new RequestLimiter(policies);
  }

  /** Takes new limits. What is in flight stays, also above a lower limit. */
  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
  }

  /** Whether the account's row and the kind's have a token and a place. */
  check(flow: weight.Flow, now: number): Decision {
    this.#forget(now);
    for (const name of rowsOf(flow)) {
      const verdict = this.#check(name, now);
      if (verdict.type === "refuse") return verdict;
    }
    return { type: "admit" };
  }

  /** Takes them after `check`, once nothing else refuses the request, so that
   * a refusal uses up no limit. What was taken must be released. */
  acquire(flow: weight.Flow): void {
    for (const name of rowsOf(flow)) this.#take(name);
  }

  /** Gives the places back. `held` is milliseconds since `take`. */
  release(flow: weight.Flow, held: number): void {
    for (const name of rowsOf(flow)) {
      const row = this.#rows.get(name);
      if (row === undefined) continue;
      row.inFlight = Math.max(0, row.inFlight - 1);
      const step = row.holding === 0 ? 1 : HOLDING_STEP;
      row.holding += step * (held - row.holding);
    }
  }

  /** Requests in flight by row. */
  toJSON(): Record<string, number> {
    const entries = [...this.#rows].map(([name, row]) => [name, row.inFlight]);
    return Object.fromEntries(entries);
  }

  #check(name: string, now: number): Decision {
    const policy = this.#policies.get(name) ?? {};
    const row = this.#rowOf(name, now);
    const { rate, concurrency } = policy;
    if (rate !== undefined) {
      refill(row, rate, now);
      if (row.tokens < 1) {
        const wait = 1000 * (1 - row.tokens) / rate;
        return refusal(name, rate > 0 ? wait : undefined);
      }
    }
    if (concurrency !== undefined && row.inFlight + 1 > concurrency) {
      const wait = row.holding / Math.max(1, concurrency);
      return refusal(name, concurrency >= 1 ? wait : undefined);
    }
    return { type: "admit" };
  }

  #take(name: string): void {
    const row = this.#rows.get(name);
    if (row === undefined) return;
    row.inFlight++;
    if (this.#policies.get(name)?.rate !== undefined) row.tokens--;
  }

  #rowOf(name: string, now: number): Row {
    let row = this.#rows.get(name);
    if (row === undefined) {
      const rate = this.#policies.get(name)?.rate ?? 0;
      row = { tokens: capacity(rate), at: now, inFlight: 0, holding: 0 };
      this.#rows.set(name, row);
    }
    return row;
  }

  #forget(now: number): void {
    for (let i = 0; i < SWEEP; i++) {
      const next = this.#sweep.next();
      if (next.done) {
        this.#sweep = this.#rows.entries();
        return;
      }
      const [name] = next.value;
      if (this.#mayForget(next.value, now)) this.#rows.delete(name);
    }
  }

  /** A new row has a full bucket, so only full ones may be forgotten. */
  #mayForget([name, row]: [string, Row], now: number): boolean {
    const idle = now - row.at;
    if (row.inFlight > 0 || idle <= FORGET_AFTER) return false;
    const rate = this.#policies.get(name)?.rate ?? 0;
    return row.tokens + rate * idle / 1000 >= capacity(rate);
  }
}

function rowsOf(flow: weight.Flow): [string, string] {
  return [`account/${flow.account}`, `kind/${flow.kind}`];
}

/** Tokens that a bucket holds; at least one, or nothing would ever pass. */
function capacity(rate: number): number {
  return rate > 0 ? Math.max(1, rate * BURST / 1000) : 0;
}

function refill(row: Row, rate: number, now: number): void {
  const gained = rate * (now - row.at) / 1000;
  row.tokens = Math.min(capacity(rate), row.tokens + gained);
  row.at = now;
}

function refusal(row: string, wait?: number): Decision {
  if (wait === undefined) return { type: "refuse", row };
  const retryAfter = Math.max(LEAST_RETRY_AFTER, Math.ceil(wait));
  return { type: "refuse", row, retryAfter };
}
