/** Online quantile estimate of positive values in constant memory.
 *
 * The estimate moves on a logarithmic scale: up by `step * quantile` for a
 * value above it, down by `step * (1 - quantile)` otherwise, so that one
 * extreme value moves it no further than any other.
 * @module */

/** Parameters of an estimator. */
export interface Options {
  /** Share of values below the estimate, 0 to 1. */
  quantile: number;
  /** Estimate before any sample. */
  initial: number;
  /** Relative step; a larger one adapts faster but fluctuates more. */
  step: number;
  min: number;
  max: number;
}

/** An online quantile estimate; `observe` updates it in place. */
export class QuantileEstimator {
  readonly #options: Options;
  #value: number;
  #samples = 0;

  private constructor(options: Options) {
    this.#options = options;
    this.#value = options.initial;
  }

  static create(options: Options): QuantileEstimator {
    return new QuantileEstimator(options);
  }

  get value(): number {
    return this.#value;
  }

  get samples(): number {
    return this.#samples;
  }

  observe(value: number): void {
    const { quantile, step, min, max } = this.#options;
    const direction = value > this.#value ? quantile : quantile - 1;
    const next = this.#value * Math.exp(step * direction);
    this.#value = Math.min(max, Math.max(min, next));
    this.#samples++;
  }
}
