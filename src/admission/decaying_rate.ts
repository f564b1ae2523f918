/** Exponentially decaying rate in constant memory.
 * @module */

/** Amount per millisecond, with exponential decay of older amounts; mutated in
 * place. */
export class DecayingRate {
  readonly #decayMs: number;
  #sum = 0;
  #updatedAt = 0;

  private constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  /** Creates a rate of 0. `decayMs` is the time in which an amount decays to
   * 1/e. */
  static create(decayMs: number): DecayingRate {
    return new DecayingRate(decayMs);
  }

  add(amount: number, now: number): void {
    this.#sum = this.#decayed(now) + amount;
    this.#updatedAt = now;
  }

  /** Current amount per millisecond. */
  at(now: number): number {
    return this.#decayed(now) / this.#decayMs;
  }

  #decayed(now: number): number {
    return this.#sum * Math.exp((this.#updatedAt - now) / this.#decayMs);
  }
}
