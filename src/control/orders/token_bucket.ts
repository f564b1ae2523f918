/** Paces loads, which draw on the rate-limited weight store.
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

  /** An empty bucket at `now`, since a former leader may just have loaded;
   * `rate` tokens a second. */
  static create(rate: number, now: number): TokenBucket {
    return new TokenBucket(rate, 1, 0, now);
  }

  /** When the next token is there. */
  readyAt(): number {
    return this.#at + Math.max(0, 1 - this.#level) / this.#rate * 1000;
  }

  /** A copy without one token, or undefined when there is none at `now`. */
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
