/** Estimates what a service can serve, from what it served and denied.
 * @module */

/** Fraction of the admitted cost that is denied at which a service is short of
 * capacity. Callers accept few failures of that kind, and fewer occur without
 * any shortage, such as single late answers. */
export const DENIED_RATIO = 0.05;
/** Intervals after which a denied fraction counts as a background that limits
 * don't relieve, such as late answers while endpoints crash. */
const BACKGROUND_INTERVALS = 4;
/** Part of the denied fraction that is left after these intervals in a background.
 * Of a shortage, less is left: the estimate falls by a third in that time. */
const UNRELIEVED_RATIO = 0.9;
/** Largest background. A service that denies more is short of capacity. */
const MAX_BACKGROUND_RATIO = 0.2;
/** Factor by which the estimate falls while the service is short of capacity,
 * relative to itself or to the served rate. It leaves a tenth of the capacity for
 * serving what has queued. */
const DECREASE = 0.9;
/** Factor by which the estimate grows otherwise. The overload that growth causes
 * within one interval is as small as the denied cost that ends the growth. */
const INCREASE = 1.05;
/** Bound of the growth, relative to the served rate. An estimate that is not
 * served, since it is not asked for or since the rest gathers in queues, shows
 * nothing about the capacity; queues hide a shortage until requests are late. */
const MAX_HEADROOM = 1.05;
/** Least growth, also beyond that bound. Otherwise, an estimate that is too low
 * would stay so where limits that are divided among hosts are not used up. */
const MIN_INCREASE = 1.01;
/** Least estimate relative to the highest one; relative to the admitted rate where
 * nothing was served at the beginning. With an estimate of 0, no request would
 * show that the service serves some again. */
const MIN_RATIO = 0.1;

/** Costs of one interval, per second. */
export interface CapacityRates {
  readonly admitted: number;
  readonly denied: number;
  readonly served: number;
}

/** Whether a service is short of capacity. `background` is the fraction of the
 * admitted cost that is denied whatever is admitted. */
export function isShort(
  { admitted, denied }: Pick<CapacityRates, "admitted" | "denied">,
  background = 0,
): boolean {
  return denied > 0 && denied >= (DENIED_RATIO + background) * admitted;
}

/** The estimated capacity of a service, in cost per second. Immutable. */
export class Capacity {
  readonly value: number;
  readonly #min: number;
  /** Denied fractions of the latest intervals. */
  readonly #denied: readonly number[];

  private constructor(
    value: number,
    { min, denied }: { min: number; denied: readonly number[] },
  ) {
    this.#min = Math.max(min, MIN_RATIO * value);
    this.value = Math.max(value, this.#min);
    this.#denied = denied;
  }

  /** The estimate when contention begins. */
  static start({ admitted, denied, served }: CapacityRates): Capacity {
    const min = MIN_RATIO * Math.max(admitted, denied);
    return served > 0
      ? new Capacity(served, { min: 0, denied: [] })
      : new Capacity(0, { min, denied: [] });
  }

  /** The estimate after another interval. */
  next(rates: CapacityRates): Capacity {
    const { admitted, denied, served } = rates;
    const estimate = isShort(rates, this.#background)
      ? DECREASE * this.value
      : this.#increased(rates);
    const ratio = admitted > 0 ? Math.min(1, denied / admitted) : 0;
    return new Capacity(Math.max(estimate, DECREASE * served), {
      min: this.#min,
      denied: [...this.#denied, ratio].slice(-BACKGROUND_INTERVALS),
    });
  }

  get #background(): number {
    const [first] = this.#denied;
    const isUnrelieved = this.#denied.length === BACKGROUND_INTERVALS &&
      this.#denied.at(-1)! >= UNRELIEVED_RATIO * first;
    return isUnrelieved ? Math.min(MAX_BACKGROUND_RATIO, ...this.#denied) : 0;
  }

  #increased({ served }: CapacityRates): number {
    const bound = Math.max(MIN_INCREASE * this.value, MAX_HEADROOM * served);
    return Math.min(INCREASE * this.value, bound);
  }
}
