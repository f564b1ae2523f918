/** Slowness of an endpoint: the time that work takes there relative to the
 * expectation for its service.
 * @module */

/** Weight of the prior, which says slowness 1, in observations. */
const PRIOR_WEIGHT = 4;
/** Largest weight of observations, so that the mean can follow a change. */
const MAX_EVIDENCE = 64;
/** Milliseconds within which observations of an endpoint count as one: its queue
 * and the moments of its machine, several hundred milliseconds long, make them
 * alike. */
const WINDOW_MS = 1000;
/** Milliseconds without an observation after which one is forgotten, so that an
 * endpoint that looks slow gets calls again. */
const FORGET_MS = 5000;
/** Time in which the weight of an observation in the momentary slowness halves:
 * the speed of machines changes within several hundred milliseconds. */
const MOMENT_HALF_LIFE_MS = 300;
/** Weight below which the momentary slowness fades, in observations: one call
 * alone may be long by its own work. */
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
  /** Mean logarithm of the ratios before the window, without the prior. */
  readonly mean: number;
  /** Number of windows in it, at `observedAt`. */
  readonly evidence: number;
  readonly observedAt: number;
  /** The latest window. */
  readonly window: Window;
}

/** Observations that count as one. */
interface Window {
  readonly since: number;
  readonly mean: number;
  readonly count: number;
}

const NO_WINDOW: Window = { since: -Infinity, mean: 0, count: 0 };

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
    { mean: 0, evidence: 0, observedAt: 0, window: NO_WINDOW },
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

  /** The estimate whose lasting slowness is that of another estimate's `report`;
   * the momentary slowness stays the same. */
  replaceLasting({ ratio, count }: SlownessReport, now: number): Slowness {
    return new Slowness({
      mean: logOf(ratio),
      evidence: Math.min(MAX_EVIDENCE, count),
      observedAt: now,
      window: NO_WINDOW,
    }, this.#moment);
  }

  /** Slowness at this moment. */
  value(now: number): number {
    return Math.exp(
      clamp(this.logLasting(now) + this.#logMoment(now)),
    );
  }

  /** Slowness without the momentary deviation. */
  lasting(now: number): number {
    return Math.exp(this.logLasting(now));
  }

  /** Logarithm of the lasting slowness. */
  logLasting(now: number): number {
    const evidence = this.evidence(now);
    const { mean } = closedOf(this.#lasting);
    return mean * evidence / (evidence + PRIOR_WEIGHT);
  }

  /** Mean logarithm of the observed ratios, without the prior. */
  get logMean(): number {
    return closedOf(this.#lasting).mean;
  }

  /** Number of observations, those within a second counted as one. One is
   * forgotten for every 5 s without any. */
  evidence(now: number): number {
    const { observedAt } = this.#lasting;
    const { evidence } = closedOf(this.#lasting);
    const forgotten = Math.floor(Math.max(0, now - observedAt) / FORGET_MS);
    return Math.max(0, evidence - forgotten);
  }

  /** Its observations as a report; undefined without any. */
  report(endpoint: string, now: number): SlownessReport | undefined {
    const count = this.evidence(now);
    if (count === 0) return undefined;
    return { endpoint, ratio: Math.exp(this.logMean), count };
  }

  #with(
    { mean, count }: Pick<Window, "mean" | "count">,
    now: number,
  ): Slowness {
    if (count <= 0) return this;
    const { window } = this.#lasting;
    const isSame = now - window.since < WINDOW_MS;
    const before = isSame ? this.#lasting : {
      ...closedOf(this.#lasting),
      evidence: this.evidence(now),
    };
    const known = isSame ? window : { since: now, mean: 0, count: 0 };
    const total = known.count + count;
    return new Slowness({
      mean: before.mean,
      evidence: before.evidence,
      observedAt: now,
      window: {
        since: known.since,
        mean: known.mean + count / total * (mean - known.mean),
        count: total,
      },
    }, this.#moment);
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

/** Mean and evidence with the latest window counted as one observation. */
function closedOf(
  { mean, evidence, window }: Lasting,
): Pick<Lasting, "mean" | "evidence"> {
  if (window.count === 0) return { mean, evidence };
  const total = Math.min(MAX_EVIDENCE, evidence + 1);
  return { mean: mean + (window.mean - mean) / total, evidence: total };
}

/** Logarithm of a ratio, which is clamped to 1/8 to 8. */
export function logOf(ratio: number): number {
  if (Number.isNaN(ratio)) return 0;
  return clamp(Math.log(ratio));
}

/** A logarithm within the bounds of ratios. */
function clamp(log: number): number {
  const max = Math.log(MAX_RATIO);
  return Math.min(max, Math.max(-max, log));
}
