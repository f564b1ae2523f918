/** The token bucket of an account's share on one host.
 * @module */

import * as tokenBuckets from "../rate_limits/token_bucket.ts";

/** Seconds of its share that an idle account saves up. */
const BURST_S = 1;
/** Requests that it saves up at least. Of dozens of hosts, each gets a rate below
 * one request per second; without room for several, requests that come by chance
 * soon after another one are refused although their account stays within its
 * share. */
const BURST_COUNT = 3;
/** Weight of a new value in the mean cost of requests. */
const COST_WEIGHT = 0.1;
/** Seconds of its share by which returning callers may go beyond it. What is
 * more than that would delay new requests of the account for longer than the
 * burst that an idle account has. */
const RETURNING_S = 1;

/** Seconds in which that allowance grows after the rate has risen. Otherwise,
 * callers who wait would all be admitted in the moment of the rise, and the
 * endpoints would deny some of them. */
const RAMP_S = 2;

/** Admits requests of one account. It goes into debt by the cost of the last
 * request that it admits, so that requests of any cost can pass. Mutable. */
export class ShareBucket {
  readonly #tokens: tokenBuckets.TokenBucket;
  #rate: number;
  /** Mean cost of the requests that were charged. */
  #meanCost = 0;
  /** Allowance of returning callers at the time of the last change, in cost. */
  #allowance = 0;
  #changedAt: number;

  private constructor(rate: number, now: number) {
    this.#rate = rate;
    this.#changedAt = now;
    this.#tokens = tokenBuckets.TokenBucket.create(rate, now, {
      burst: BURST_S,
      minBurst: 0,
    });
  }

  /** An empty bucket that gains `rate` of cost per second. */
  static create(rate: number, now: number): ShareBucket {
    return new ShareBucket(rate, now);
  }

  /** Cost per second that the bucket gains. */
  get rate(): number {
    return this.#rate;
  }

  /** Changes the rate. A debt within the allowance of returning callers falls
   * with the rate: otherwise, an account whose rate falls would be refused until
   * it has paid for what it was allowed. */
  setRate(rate: number, now: number): void {
    const allowance = this.#allowanceAt(now);
    const debt = Math.max(0, -this.level(now));
    this.#changedAt = now;
    this.#rate = rate;
    this.#tokens.setRate(rate, now);
    this.#allowance = Math.min(allowance, RETURNING_S * rate);
    this.#tokens.withdraw(-Math.min(debt, allowance - this.#allowance), now);
  }

  /** Cost that may be charged before the bucket is in debt; negative when it
   * is. */
  level(now: number): number {
    return this.#tokens.level(now);
  }

  /** Whether a request is admitted now. */
  admits(now: number, { isReturning }: { isReturning: boolean }): boolean {
    return this.level(now) > (isReturning ? -this.#allowanceAt(now) : 0);
  }

  /** Charges a cost; a negative one is refunded. */
  charge(cost: number, now: number): void {
    if (cost > 0) this.#observeCost(cost);
    this.#tokens.withdraw(cost, now);
  }

  /** Milliseconds until the bucket is no longer in debt. */
  wait(now: number): number {
    const debt = Math.max(0, -this.level(now));
    if (debt === 0) return 0;
    return this.#rate > 0 ? 1000 * debt / this.#rate : Infinity;
  }

  #observeCost(cost: number): void {
    const weight = this.#meanCost === 0 ? 1 : COST_WEIGHT;
    this.#meanCost += weight * (cost - this.#meanCost);
    this.#tokens.setMinBurst(BURST_COUNT * this.#meanCost);
  }

  #allowanceAt(now: number): number {
    const max = RETURNING_S * this.#rate;
    const grown = max * (now - this.#changedAt) / (1000 * RAMP_S);
    return Math.min(max, this.#allowance + grown);
  }
}
