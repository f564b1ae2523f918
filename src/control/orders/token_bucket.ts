/** Token bucket that limits the rate of model loads, since the weight store that
 * they read from is rate-limited.
 * @module */

/** Immutable token bucket. */
export class TokenBucket {
  readonly #rate: number;
  readonly #burst: number;
  readonly #level: number;
  readonly #at: number;

  private constructor(rate: number, burst: number, level: number, at: number) {
    this.#rate = rate;
    this.#burst = burst;
    this.#level = level;
    this.#at = at;
  }

  /** Creates a bucket that gains `rate` tokens per second. It is empty at `now`,
   * since a former leader may have just ordered a load. */
  static create(rate: number, now: number): TokenBucket {
    return new TokenBucket(rate, 1, 0, now);
  }

  /** Returns when the next token is available. */
  readyAt(): number {
    return this.#at + Math.max(0, 1 - this.#level) / this.#rate * 1000;
  }

  /** Returns a copy with one token less, or undefined if there is none at
   * `now`. */
  take(now: number): TokenBucket | undefined {
    if (now < this.readyAt()) return undefined;
    const gained = (now - this.#at) / 1000 * this.#rate;
    const level = Math.min(this.#burst, this.#level + gained);
    return new TokenBucket(
      this.#rate,
      this.#burst,
      Math.max(0, level - 1),
      now,
    );
  }
}
