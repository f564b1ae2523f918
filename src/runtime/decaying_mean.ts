/** A running mean that loses its weight while nothing renews it.
 *
 * What is decided by a mean may forbid what would renew it: a value that never
 * fades would then be believed for good.
 * @module */

/** How fast a mean follows new values, and how long it is believed. */
export interface DecayingMeanOptions {
  /** Part of a new value in the mean. */
  readonly gain: number;
  /** Milliseconds after a value during which the mean keeps its full weight. */
  readonly freshMs: number;
  /** Milliseconds over which it then loses half of its weight. */
  readonly halfLifeMs: number;
}

/** When a mean is looked at, and what is believed without values. */
export interface Prior {
  readonly now: number;
  readonly prior: number;
}

/** A mean of values; changed in place. */
export class DecayingMean {
  readonly #options: DecayingMeanOptions;
  #mean = 0;
  #notedAt?: number;

  private constructor(options: DecayingMeanOptions) {
    this.#options = options;
  }

  static create(options: DecayingMeanOptions): DecayingMean {
    return new DecayingMean(options);
  }

  /** Milliseconds since the last value; undefined before the first. */
  age(now: number): number | undefined {
    return this.#notedAt === undefined ? undefined : now - this.#notedAt;
  }

  /** The mean, as far as it still counts, and else the prior. */
  value({ now, prior }: Prior): number {
    return prior + this.#weight(now) * (this.#mean - prior);
  }

  /** Takes a new value in. */
  add(value: number, { now, prior }: Prior): void {
    const known = this.value({ now, prior });
    this.#mean = known + this.#options.gain * (value - known);
    this.#notedAt = now;
  }

  #weight(now: number): number {
    const age = this.age(now);
    if (age === undefined) return 0;
    const { freshMs: fresh, halfLifeMs: halfLife } = this.#options;
    return age <= fresh ? 1 : 0.5 ** ((age - fresh) / halfLife);
  }
}
