/** The token bucket of an account's share on one host.
 * @module */

import * as tokenBuckets from "../rate_limits/token_bucket.ts";

/** Seconds of its share that an idle account saves up. */
const BURST_S = 1;
/** Seconds of its share by which returning callers may go beyond it. What is
 * more than that would delay new requests of the account for longer than the
 * burst that an idle account has. */
const RETURNING_S = 1;

/** Admits requests of one account. It goes into debt by the cost of the last
 * request that it admits, so that requests of any cost can pass. Mutable. */
export class ShareBucket {
  readonly #tokens: tokenBuckets.TokenBucket;
  #rate: number;

  private constructor(rate: number, now: number) {
    this.#rate = rate;
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

  setRate(rate: number, now: number): void {
    this.#rate = rate;
    this.#tokens.setRate(rate, now);
  }

  /** Cost that may be charged before the bucket is in debt; negative when it
   * is. */
  level(now: number): number {
    return this.#tokens.level(now);
  }

  /** Whether a request is admitted now. */
  admits(now: number, { isReturning }: { isReturning: boolean }): boolean {
    const threshold = isReturning ? -RETURNING_S * this.#rate : 0;
    return this.level(now) > threshold;
  }

  /** Charges a cost; a negative one is refunded. */
  charge(cost: number, now: number): void {
    this.#tokens.withdraw(cost, now);
  }

  /** Milliseconds until the bucket is no longer in debt. */
  wait(now: number): number {
    const debt = Math.max(0, -this.level(now));
    if (debt === 0) return 0;
    return this.#rate > 0 ? 1000 * debt / this.#rate : Infinity;
  }
}
