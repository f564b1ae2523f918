/** Slowness of an endpoint: the time that work takes there relative to the
 * expectation for its service.
 * @module */

/** Weight of the prior, which says slowness 1, in observations. */
const PRIOR_WEIGHT = 4;
/** Largest weight of observations, so that the mean can follow a change. */
const MAX_EVIDENCE = 64;
/** Milliseconds without an observation after which one is forgotten, so that an
 * endpoint that looks slow gets calls again. */
const FORGET_MS = 5000;
/** Time in which the weight of an observation in the momentary slowness halves:
 * the speed of machines changes within several hundred milliseconds. */
const MOMENT_HALF_LIFE_MS = 300;
/** Weight below which the momentary slowness fades, in observations: one call
 * alone may be long by its own work. With 1, the median latency of calls at
 * endpoints of constant speed rises by 2 %; with 3, the momentary slowness is of
 * little use where speeds change. */
const MIN_MOMENT_WEIGHT = 2;
/** Largest ratio, and the inverse of the smallest, so that one observation can't
 * ban an endpoint. */
const MAX_RATIO = 8;

/** Observations of an endpoint, as messages between hosts carry them. */
export interface SlownessReport {
  /** One incarnation. */
  readonly endpoint: string;
  /** Geometric mean of the observed ratios. */
  readonly ratio: number;
  /** Number of observations. */
  readonly count: number;
}

/** What observations show of the lasting slowness. */
interface Lasting {
  /** Mean logarithm of the ratios, without the prior. */
  readonly mean: number;
  /** Weight of the observations at `observedAt`. */
  readonly evidence: number;
  readonly observedAt: number;
}

/** Deviation of recent observations from the lasting slowness. */
interface Moment {
  /** Weighted sum of the logarithms, and of the weights, at `updatedAt`. */
  readonly sum: number;
  readonly weight: number;
  readonly updatedAt: number;
}

/** Estimate of an endpoint's slowness. Immutable. */
export class Slowness {
  /** Estimate without observations: slowness 1. */
  static readonly PRIOR: Slowness = new this(
    { mean: 0, evidence: 0, observedAt: 0 },
    { sum: 0, weight: 0, updatedAt: 0 },
  );
  readonly #lasting: Lasting;
  readonly #moment: Moment;

  private constructor(lasting: Lasting, moment: Moment) {
    this.#lasting = lasting;
    this.#moment = moment;
  }

  /** The estimate after a call that took `ratio` times the expectation. */
  observe(ratio: number, now: number): Slowness {
    const observed = logOf(ratio);
    const added = this.#with({ mean: observed, count: 1 }, now);
    const { sum, weight } = this.#momentAt(now);
    const deviation = observed - added.logLasting(now);
    return new Slowness(added.#lasting, {
      sum: sum + deviation,
      weight: weight + 1,
      updatedAt: now,
    });
  }

  /** The estimate after the endpoint has announced its momentary slowness. */
  announce(value: number, now: number): Slowness {
    const weight = MIN_MOMENT_WEIGHT;
    const moment = { sum: weight * logOf(value), weight, updatedAt: now };
    return new Slowness(this.#lasting, moment);
  }

  /** The estimate after several observations at once; the momentary slowness
   * stays the same. */
  add({ ratio, count }: SlownessReport, now: number): Slowness {
    return this.#with({ mean: logOf(ratio), count }, now);
  }

  /** The estimate whose lasting slowness is that of `report` alone; the momentary
   * slowness stays the same. */
  replaceLasting(report: SlownessReport, now: number): Slowness {
    return new Slowness(Slowness.PRIOR.#lasting, this.#moment)
      .add(report, now);
  }

  /** Slowness at this moment. */
  value(now: number): number {
    return Math.exp(this.logLasting(now) + this.#logMoment(now));
  }

  /** Slowness without the momentary deviation. */
  lasting(now: number): number {
    return Math.exp(this.logLasting(now));
  }

  /** Logarithm of the lasting slowness. */
  logLasting(now: number): number {
    const evidence = this.evidence(now);
    return this.#lasting.mean * evidence / (evidence + PRIOR_WEIGHT);
  }

  /** Number of observations, of which one is forgotten for every 5 s without
   * one. */
  evidence(now: number): number {
    const { evidence, observedAt } = this.#lasting;
    const forgotten = Math.floor(Math.max(0, now - observedAt) / FORGET_MS);
    return Math.max(0, evidence - forgotten);
  }

  /** Its observations as a report; undefined without any. */
  report(endpoint: string, now: number): SlownessReport | undefined {
    const count = this.evidence(now);
    if (count === 0) return undefined;
    return { endpoint, ratio: Math.exp(this.#lasting.mean), count };
  }

  #with(
    { mean, count }: { readonly mean: number; readonly count: number },
    now: number,
  ): Slowness {
    if (count <= 0) return this;
    const evidence = Math.min(MAX_EVIDENCE, this.evidence(now) + count);
    const weight = Math.min(count, MAX_EVIDENCE) / evidence;
    const lasting = {
      mean: this.#lasting.mean + weight * (mean - this.#lasting.mean),
      evidence,
      observedAt: now,
    };
    return new Slowness(lasting, this.#moment);
  }

  #momentAt(now: number): Pick<Moment, "sum" | "weight"> {
    const { sum, weight, updatedAt } = this.#moment;
    const left = 0.5 ** (Math.max(0, now - updatedAt) / MOMENT_HALF_LIFE_MS);
    return { sum: sum * left, weight: weight * left };
  }

  /** Mean deviation. It fades once the remaining weight is below that of two
   * observations. */
  #logMoment(now: number): number {
    const { sum, weight } = this.#momentAt(now);
    return sum / Math.max(MIN_MOMENT_WEIGHT, weight);
  }
}

/** Logarithm of a ratio, which is clamped to 1/8 to 8. */
export function logOf(ratio: number): number {
  if (Number.isNaN(ratio)) return 0;
  return Math.log(Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio)));
}
