/** A token bucket.
 * @module */

/** Capacity of a bucket as a fraction of one second's tokens, and its minimum
 * in tokens. */
const BURST_S = 0.25;
const MIN_BURST_TOKENS = 1;

/** A token bucket that starts empty, since a host that has just started or
 * taken over does not know what was granted before. Mutable. */
export class TokenBucket {
  #rate: number;
  #tokens = 0;
  #updatedAt: number;

  private constructor(rate: number, now: number) {
    this.#rate = rate;
    this.#updatedAt = now;
  }

  /** A bucket that gains `rate` tokens per second. */
  static create(rate: number, now: number): TokenBucket {
    return new TokenBucket(rate, now);
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

  #refill(now: number): void {
    const capacity = Math.max(MIN_BURST_TOKENS, BURST_S * this.#rate);
    const gained = this.#rate * (now - this.#updatedAt) / 1000;
    this.#tokens = Math.min(capacity, this.#tokens + gained);
    this.#updatedAt = now;
  }
}
