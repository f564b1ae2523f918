/** Online quantile of positive values in constant memory.
 *
 * Steps on a logarithmic scale: up by `step * quantile` when a value lies
 * above, down by `step * (1 - quantile)` otherwise, so one extreme value
 * moves it no further than any other.
 * @module */

/** What a tracker follows. */
export interface Options {
  /** Share of values to lie below, 0 to 1. */
  quantile: number;
  /** Value before any sample. */
  initial: number;
  /** Relative step; larger follows faster and rests less. */
  step: number;
  min: number;
  max: number;
}

/** An online quantile; `observe` changes it in place. */
export class QuantileEstimator {
  readonly #goal: Options;
  #value: number;
  #samples = 0;

  private constructor(goal: Options) {
    this.#goal = goal;
    this.#value = goal.initial;
  }

  static create(goal: Options): QuantileEstimator {
    return new QuantileEstimator(goal);
  }

  get value(): number {
    return this.#value;
  }

  get samples(): number {
    return this.#samples;
  }

  observe(value: number): void {
    const { quantile, step, min: least, max: most } = this.#goal;
    const move = value > this.#value ? quantile : quantile - 1;
    const next = this.#value * Math.exp(step * move);
    this.#value = Math.min(most, Math.max(least, next));
    this.#samples++;
  }
}
