/** Mean of a service's durations, gaps or ratios at an endpoint of slowness 1.
 * @module */

/** Calls of which the mean is taken: enough to average over endpoints, and few
 * enough to follow a change. */
const MAX_COUNT = 64;
/** Calls before which the mean says little. */
const MIN_COUNT = 8;

/** Running geometric mean; changed in place. An arithmetic mean exceeds most
 * durations, so ratios to it would let all estimates of slowness fall together. */
export class MeanDuration {
  #logMean = 0;
  #count = 0;

  static create(): MeanDuration {
    return new MeanDuration();
  }

  /** Mean in the unit of what is observed; undefined until enough is known. */
  get value(): number | undefined {
    return this.#count < MIN_COUNT ? undefined : Math.exp(this.#logMean);
  }

  /** Records a value divided by the slowness of its endpoint. */
  observe(duration: number): void {
    if (!(duration > 0 && duration < Infinity)) return;
    this.#count = Math.min(MAX_COUNT, this.#count + 1);
    this.#logMean += (Math.log(duration) - this.#logMean) / this.#count;
  }
}
