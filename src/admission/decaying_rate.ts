/** Rate of late, in constant memory.
 * @module */

/** An amount for each millisecond, older amounts fading; changed in place. */
export class DecayingRate {
  readonly #span: number;
  #sum = 0;
  #at = 0;

  private constructor(span: number) {
    this.#span = span;
  }

  /** `span` is the milliseconds in which an amount fades to 1/e. */
  static create(span: number): DecayingRate {
    return new DecayingRate(span);
  }

  add(amount: number, now: number): void {
    this.#sum = this.#faded(now) + amount;
    this.#at = now;
  }

  /** Amount for each millisecond. */
  at(now: number): number {
    return this.#faded(now) / this.#span;
  }

  #faded(now: number): number {
    return this.#sum * Math.exp((this.#at - now) / this.#span);
  }
}
