/** Calibrates forecasts of stage completion by the ratio of actual to forecast
 * queueing times. They differ because requests that arrive after a forecast may
 * overtake, and because part of the forecast load is refused.
 * @module */

/** Initial ratio of actual to forecast waits: slightly above 1, since forecasts
 * don't include later arrivals. */
const INITIAL_RATIO = 1.2;
/** Bounds of the ratio. It falls below 1 some seconds into a burst, when
 * forecasts are 250 ms too high at the median; without a downward correction,
 * requests that would meet their objective would be refused throughout it. */
const MIN_RATIO = 0.3;
const MAX_RATIO = 3;
/** Weight of a new value in the moving averages. */
const AVERAGE_WEIGHT = 0.15;
/** Initial mean error as a part of the uncontended time: calls shared with
 * other requests vary by about as much. */
const INITIAL_ERROR_RATIO = 0.2;
/** Least forecast wait, in milliseconds, from which a ratio is learnt. */
const MIN_FORECAST_WAIT_MS = 150;

/** A forecast in milliseconds from when it is made. */
export interface Forecast {
  /** Completion of all stages. */
  readonly finish: number;
  /** The same without queueing. */
  readonly uncontended: number;
}

/** Ratios and errors by route; changed in place. */
export class Calibration {
  readonly #ratios = new Map<string, number>();
  readonly #errors = new Map<string, number>();

  static create(): Calibration {
    return new Calibration();
  }

  /** Completion time corrected by the recent ratio of the route. */
  correct(
    route: string,
    { finish, uncontended }: Forecast,
  ): number {
    return uncontended +
      (finish - uncontended) * (this.#ratios.get(route) ?? INITIAL_RATIO);
  }

  /** Mean error of a route's corrected forecasts, in milliseconds. */
  error(
    route: string,
    { uncontended }: Pick<Forecast, "uncontended">,
  ): number {
    return this.#errors.get(route) ?? INITIAL_ERROR_RATIO * uncontended;
  }

  /** Learns from a forecast and the milliseconds that the stages took. */
  observe(route: string, forecast: Forecast, elapsed: number): void {
    const { finish, uncontended } = forecast;
    const previous = this.error(route, forecast);
    const error = Math.abs(elapsed - this.correct(route, forecast));
    this.#errors.set(route, previous + AVERAGE_WEIGHT * (error - previous));
    this.#observeRatio(route, { finish, uncontended }, elapsed);
  }

  #observeRatio(
    route: string,
    { finish, uncontended }: Forecast,
    elapsed: number,
  ): void {
    const wait = finish - uncontended;
    if (wait < MIN_FORECAST_WAIT_MS) return;
    const ratio = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, (elapsed - uncontended) / wait),
    );
    const previous = this.#ratios.get(route) ?? INITIAL_RATIO;
    this.#ratios.set(route, previous + AVERAGE_WEIGHT * (ratio - previous));
  }
}
