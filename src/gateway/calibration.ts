/** How much longer, or shorter, requests wait for their pieces than was
 * forecast: what comes after a forecast goes partly before what it was for, and
 * what was expected is partly refused.
 * @module */

/** Ratio of real to forecast waits before anything is measured: a little over
 * 1, since what comes later is never counted. */
const FIRST = 1.2;
/** Bounds of the ratio. Below 1 lies a burst some seconds after its begin, when
 * forecasts are too high by 250 ms at the median; were they never corrected
 * downwards, requests that would be in time would be refused all through it. */
const LEAST = 0.3;
const MOST = 3;
/** Part of a new value in the running means. */
const GAIN = 0.15;
/** Mean error before anything is measured, as a part of the work that waits for
 * nothing: calls that others share vary by about as much. */
const FIRST_ERROR = 0.2;
/** Milliseconds of forecast wait that are worth measuring by. */
const MEASURABLE = 150;

/** A forecast, in milliseconds. */
export interface Forecast {
  /** Until all pieces are made. */
  readonly finish: number;
  /** The same if nothing waited. */
  readonly uncontended: number;
}

/** Ratios by route; changed in place. */
export class Calibration {
  readonly #ratios = new Map<string, number>();
  readonly #errors = new Map<string, number>();

  static create(): Calibration {
    return new Calibration();
  }

  /** When the pieces will be made, by what forecasts were worth lately. */
  correct(route: string, { finish, uncontended: alone }: Forecast): number {
    return alone + (finish - alone) * (this.#ratios.get(route) ?? FIRST);
  }

  /** Milliseconds by which corrected forecasts of a route miss, on average. */
  error(
    route: string,
    { uncontended: alone }: Pick<Forecast, "uncontended">,
  ): number {
    return this.#errors.get(route) ?? FIRST_ERROR * alone;
  }

  /** Notes how long it took what was forecast. */
  observe(route: string, forecast: Forecast, took: number): void {
    const { finish, uncontended: alone } = forecast;
    const known = this.error(route, forecast);
    const error = Math.abs(took - this.correct(route, forecast));
    this.#errors.set(route, known + GAIN * (error - known));
    this.#learnRatio(route, { finish, uncontended: alone }, took);
  }

  #learnRatio(
    route: string,
    { finish, uncontended: alone }: Forecast,
    took: number,
  ): void {
    const wait = finish - alone;
    if (wait < MEASURABLE) return;
    const ratio = Math.min(MOST, Math.max(LEAST, (took - alone) / wait));
    const known = this.#ratios.get(route) ?? FIRST;
    this.#ratios.set(route, known + GAIN * (ratio - known));
  }
}
