/** Rate and concurrency limits by the cells of the policy table, for this
 * host's share of the fleet's limits. A request over a limit is refused at once
 * instead of being queued.
 * @module */

import type * as request from "../request/mod.ts";
import type * as weight from "./weight.ts";

/** Result of a check; `row` is the policy row whose limit is reached. */
export type Decision =
  | { type: "admit" }
  | { type: "refuse"; row: string; retryAfter?: number };

/** Burst size of a row's token bucket, as milliseconds of its rate. */
const BURST_MS = 1000;

/** Weight of the newest sample in the moving average of holding times. */
const HOLDING_TIME_RATIO = 0.1;

/** Lower bound of `retryAfter`. */
const MIN_RETRY_AFTER_MS = 10;

/** Idle time after which a row is evicted. */
const EVICTION_IDLE_MS = 60_000;

/** Rows checked for eviction at each decision. */
const EVICTION_CHECKS = 2;

/** Token bucket and concurrency count of one policy row. */
interface RowState {
  tokens: number;
  /** Time of the last refill. */
  refilledAt: number;
  inFlight: number;
  /** Mean milliseconds that a request is in flight; 0 before the first. */
  holdingTime: number;
}

/** Limits of all rows; `acquire` and `release` mutate it in place. */
export class RequestLimiter {
  #policies: request.Policies;
  readonly #rows = new Map<string, RowState>();
  #evictionCursor: Iterator<[string, RowState]>;

  private constructor(policies: request.Policies) {
    this.#policies = policies;
    this.#evictionCursor = this.#rows.entries();
  }

  static create(policies: request.Policies = new Map()): RequestLimiter {
    return new RequestLimiter(policies);
  }

  /** Applies new limits. Requests in flight stay, even above a lower limit. */
  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
  }

  /** Checks that the account's and the kind's row both have a token and free
   * concurrency. */
  check(flow: weight.Flow, now: number): Decision {
    this.#evictIdle(now);
    for (const name of rowsOf(flow)) {
      const decision = this.#checkRow(name, now);
      if (decision.type === "refuse") return decision;
    }
    return { type: "admit" };
  }

  /** Takes a token and a concurrency slot of each row. Called after `check`,
   * once no other check refuses the request, so that a refused request uses up
   * no limit. Each call must be paired with `release`. */
  acquire(flow: weight.Flow): void {
    for (const name of rowsOf(flow)) this.#acquireRow(name);
  }

  /** Releases the concurrency slots. `heldMs` is the time since
   * `acquire`. */
  release(flow: weight.Flow, heldMs: number): void {
    for (const name of rowsOf(flow)) {
      const row = this.#rows.get(name);
      if (row === undefined) continue;
      row.inFlight = Math.max(0, row.inFlight - 1);
      const step = row.holdingTime === 0 ? 1 : HOLDING_TIME_RATIO;
      row.holdingTime += step * (heldMs - row.holdingTime);
    }
  }

  /** Requests in flight by row. */
  toJSON(): Record<string, number> {
    const entries = [...this.#rows].map(([name, row]) => [name, row.inFlight]);
    return Object.fromEntries(entries);
  }

  #checkRow(name: string, now: number): Decision {
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
      const wait = row.holdingTime / Math.max(1, concurrency);
      return refusal(name, concurrency >= 1 ? wait : undefined);
    }
    return { type: "admit" };
  }

  #acquireRow(name: string): void {
    const row = this.#rows.get(name);
    if (row === undefined) return;
    row.inFlight++;
    if (this.#policies.get(name)?.rate !== undefined) row.tokens--;
  }

  #rowOf(name: string, now: number): RowState {
    let row = this.#rows.get(name);
    if (row === undefined) {
      const rate = this.#policies.get(name)?.rate ?? 0;
      row = {
        tokens: capacity(rate),
        refilledAt: now,
        inFlight: 0,
        holdingTime: 0,
      };
      this.#rows.set(name, row);
    }
    return row;
  }

  #evictIdle(now: number): void {
    for (let i = 0; i < EVICTION_CHECKS; i++) {
      const next = this.#evictionCursor.next();
      if (next.done) {
        this.#evictionCursor = this.#rows.entries();
        return;
      }
      const [name] = next.value;
      if (this.#canEvict(next.value, now)) this.#rows.delete(name);
    }
  }

  /** Whether a row may be evicted. A new row starts with a full bucket, so only
   * rows with full buckets may be. */
  #canEvict([name, row]: [string, RowState], now: number): boolean {
    const idle = now - row.refilledAt;
    if (row.inFlight > 0 || idle <= EVICTION_IDLE_MS) return false;
    const rate = this.#policies.get(name)?.rate ?? 0;
    return row.tokens + rate * idle / 1000 >= capacity(rate);
  }
}

function rowsOf(flow: weight.Flow): [string, string] {
  return [`account/${flow.account}`, `kind/${flow.kind}`];
}

/** Capacity of a bucket; at least one token, since otherwise no request would
 * ever be admitted. */
function capacity(rate: number): number {
  return rate > 0 ? Math.max(1, rate * BURST_MS / 1000) : 0;
}

function refill(row: RowState, rate: number, now: number): void {
  const gained = rate * (now - row.refilledAt) / 1000;
  row.tokens = Math.min(capacity(rate), row.tokens + gained);
  row.refilledAt = now;
}

function refusal(row: string, wait?: number): Decision {
  if (wait === undefined) return { type: "refuse", row };
  const retryAfter = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(wait));
  return { type: "refuse", row, retryAfter };
}
