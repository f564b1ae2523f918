/** An exponentially weighted mean that decays towards a prior while there are
 * no new samples.
 *
 * A decision based on a mean can prevent further samples, for example when it
 * stops traffic to a slow endpoint. Without the decay the last value would then
 * apply for ever.
 * @module */

/** Options of a mean. */
export interface DecayingMeanOptions {
  /** Weight of a new sample in the mean. */
  readonly gain: number;
  /** Time after a sample during which the mean keeps its full weight. */
  readonly freshMs: number;
  /** Half-life of the weight after that time. */
  readonly halfLifeMs: number;
}

/** Time of an access, and the value assumed without samples. */
export interface Prior {
  readonly now: number;
  readonly prior: number;
}

/** A decaying mean; mutable. */
export class DecayingMean {
  readonly #options: DecayingMeanOptions;
  #mean = 0;
  #lastSampleAt?: number;

  private constructor(options: DecayingMeanOptions) {
    this.#options = options;
  }

  /** Creates a mean without samples. */
  static create(options: DecayingMeanOptions): DecayingMean {
    return new DecayingMean(options);
  }

  /** Returns the milliseconds since the last sample; undefined before the
   * first. */
  age(now: number): number | undefined {
    return this.#lastSampleAt === undefined
      ? undefined
      : now - this.#lastSampleAt;
  }

  /** Returns the prior and the mean, weighted by the age of the mean. */
  value({ now, prior }: Prior): number {
    return prior + this.#weight(now) * (this.#mean - prior);
  }

  /** Adds a sample. */
  add(sample: number, { now, prior }: Prior): void {
    const mean = this.value({ now, prior });
    this.#mean = mean + this.#options.gain * (sample - mean);
    this.#lastSampleAt = now;
  }

  #weight(now: number): number {
    const age = this.age(now);
    if (age === undefined) return 0;
    const { freshMs, halfLifeMs } = this.#options;
    return age <= freshMs ? 1 : 0.5 ** ((age - freshMs) / halfLifeMs);
  }
}
