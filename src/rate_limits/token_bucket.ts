/** How many requests may go somewhere at a rate.
 * @module */

/** Part of a second's tokens that may gather, and the least that may. */
const BURST = 0.25;
const LEAST_BURST = 1;

/** A token bucket that begins empty: who grants in another's place, or has just
 * started, does not know what was granted before. Changed in place. */
export class TokenBucket {
  #rate: number;
  #tokens = 0;
  #at: number;

  private constructor(rate: number, now: number) {
    this.#rate = rate;
    this.#at = now;
  }

  /** Of so many tokens a second. */
  static create(rate: number, now: number): TokenBucket {
    return new TokenBucket(rate, now);
  }

  setRate(rate: number, now: number): void {
    this.#fill(now);
    this.#rate = rate;
  }

  /** Takes a token; returns 0, or the milliseconds until there is one. */
  take(now: number): number {
    this.#fill(now);
    if (this.#tokens >= 1) {
      this.#tokens--;
      return 0;
    }
    return this.#rate > 0 ? 1000 * (1 - this.#tokens) / this.#rate : Infinity;
  }

  #fill(now: number): void {
    const most = Math.max(LEAST_BURST, BURST * this.#rate);
    const gained = this.#rate * (now - this.#at) / 1000;
    this.#tokens = Math.min(most, this.#tokens + gained);
    this.#at = now;
  }
}
