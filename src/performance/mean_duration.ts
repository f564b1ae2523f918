/** Mean duration of a service's calls at an endpoint of slowness 1.
 * @module */

/** Calls of which the mean is taken: enough to average over endpoints, and few
 * enough to follow a change. */
const MAX_COUNT = 64;
/** Calls before which the mean says little. */
const MIN_COUNT = 8;

/** Running mean; changed in place. It is the mean of logarithms, as that of
 * slowness is: with an arithmetic mean, most ratios were below 1, and all
 * estimates of slowness would fall together. */
export class MeanDuration {
  #logMean = 0;
  #count = 0;

  static create(): MeanDuration {
    return new MeanDuration();
  }

  /** Milliseconds; undefined until enough calls are known. */
  get value(): number | undefined {
    return this.#count < MIN_COUNT ? undefined : Math.exp(this.#logMean);
  }

  /** Records the duration of a call divided by the slowness of its endpoint. */
  observe(duration: number): void {
    if (!(duration > 0 && duration < Infinity)) return;
    this.#count = Math.min(MAX_COUNT, this.#count + 1);
    this.#logMean += (Math.log(duration) - this.#logMean) / this.#count;
  }
}
