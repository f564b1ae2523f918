/** How much longer requests wait for their pieces than was forecast: what comes
 * after a forecast goes partly before what it was for.
 * @module */

/** Ratio of real to forecast waits before anything is measured: a little over
 * 1, since what comes later is never counted. */
const FIRST = 1.2;
const LEAST = 1;
const MOST = 3;
/** Part of a new value in the running mean. */
const GAIN = 0.15;
/** Milliseconds of forecast wait that are worth measuring by. */
const MEASURABLE = 150;

/** A forecast, in milliseconds. */
export interface Forecast {
  /** Until all pieces are made. */
  readonly finish: number;
  /** The same if nothing waited. */
  readonly alone: number;
}

/** Ratios by route; changed in place. */
export class Calibration {
  readonly #ratios = new Map<string, number>();

  static create(): Calibration {
    return new Calibration();
  }

  /** When the pieces will be made, by what forecasts were worth lately. */
  correct(route: string, { finish, alone }: Forecast): number {
    return alone + (finish - alone) * (this.#ratios.get(route) ?? FIRST);
  }

  /** Notes how long it took what was forecast. */
  learn(route: string, { finish, alone }: Forecast, took: number): void {
    const wait = finish - alone;
    if (wait < MEASURABLE) return;
    const ratio = Math.min(MOST, Math.max(LEAST, (took - alone) / wait));
    const known = this.#ratios.get(route) ?? FIRST;
    this.#ratios.set(route, known + GAIN * (ratio - known));
  }
}
