/** A token bucket.
 * @module */

/** Capacity of a bucket as a fraction of one second's tokens, and its minimum
 * in tokens. */
const BURST_S = 0.25;
const MIN_BURST_TOKENS = 1;

/** Capacity of a bucket. */
export interface TokenBucketOptions {
  /** As seconds of its rate. */
  readonly burst?: number;
  /** Minimum in tokens. */
  readonly minBurst?: number;
}

/** A token bucket that starts empty, since a host that has just started or
 * taken over does not know what was granted before. Mutable. */
export class TokenBucket {
  readonly #burst: number;
  #minBurst: number;
  #rate: number;
  #tokens = 0;
  #updatedAt: number;

  private constructor(
    rate: number,
    now: number,
    { burst = BURST_S, minBurst = MIN_BURST_TOKENS }: TokenBucketOptions,
  ) {
    this.#rate = rate;
    this.#updatedAt = now;
    this.#burst = burst;
    this.#minBurst = minBurst;
  }

  /** A bucket that gains `rate` tokens per second. */
  static create(
    rate: number,
    now: number,
    options: TokenBucketOptions = {},
  ): TokenBucket {
    return new TokenBucket(rate, now, options);
  }

  /** Changes the least number of tokens that the bucket holds when full. */
  setMinBurst(minBurst: number): void {
    this.#minBurst = minBurst;
  }

  setRate(rate: number, now: number): void {
    this.#refill(now);
    this.#rate = rate;
  }

  /** Takes a token; returns 0, or the milliseconds until one is available. */
  take(now: number): number {
    this.#refill(now);
    if (this.#tokens >= 1) {
      this.#tokens--;
      return 0;
    }
    return this.#rate > 0 ? 1000 * (1 - this.#tokens) / this.#rate : Infinity;
  }

  /** Tokens in the bucket; negative after larger withdrawals. */
  level(now: number): number {
    this.#refill(now);
    return this.#tokens;
  }

  /** Withdraws tokens, whether or not there are as many; a negative amount is
   * put back. */
  withdraw(amount: number, now: number): void {
    this.#refill(now);
    this.#tokens = Math.min(this.#capacity, this.#tokens - amount);
  }

  get #capacity(): number {
    return Math.max(this.#minBurst, this.#burst * this.#rate);
  }

  #refill(now: number): void {
    const gained = this.#rate * (now - this.#updatedAt) / 1000;
    this.#tokens = Math.min(this.#capacity, this.#tokens + gained);
    this.#updatedAt = now;
  }
}
