/** How much longer, or shorter, requests wait for their pieces than was
 * forecast: what comes after a forecast goes partly before what it was for, and
 * what was expected is partly refused.
 * @module */

import * as fadingMeans from "../runtime/fading_mean.ts";

/** Ratio of real to forecast waits before anything is measured: a little over
 * 1, since what comes later is never counted. */
const FIRST = 1.2;
/** Bounds of the ratio. Below 1 lies a burst some seconds after its begin, when
 * forecasts are too high by 250 ms at the median; were they never corrected
 * downwards, requests that would be in time would be refused all through it. */
const LEAST = 0.3;
const MOST = 3;
/** The running means. */
const MEAN = { gain: 0.15, fresh: 5000, halfLife: 5000 };
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
  readonly alone: number;
}

/** Whose forecast, and when. */
export interface Occasion {
  readonly route: string;
  readonly now: number;
}

/** Ratios by route; changed in place. */
export class Calibration {
  readonly #ratios = new Map<string, fadingMeans.FadingMean>();
  readonly #errors = new Map<string, fadingMeans.FadingMean>();

  static create(): Calibration {
    return new Calibration();
  }

  /** When the pieces will be made, by what forecasts were worth lately. */
  correct({ finish, alone }: Forecast, { route, now }: Occasion): number {
    const ratio = meanOf(this.#ratios, route).value({ now, prior: FIRST });
    return alone + (finish - alone) * ratio;
  }

  /** Milliseconds by which corrected forecasts of a route miss, on average. */
  error({ alone }: Pick<Forecast, "alone">, { route, now }: Occasion): number {
    const prior = FIRST_ERROR * alone;
    return meanOf(this.#errors, route).value({ now, prior });
  }

  /** Notes how long it took what was forecast. */
  learn(
    forecast: Forecast,
    { route, now, took }: Occasion & { readonly took: number },
  ): void {
    const { finish, alone } = forecast;
    const error = Math.abs(took - this.correct(forecast, { route, now }));
    const prior = FIRST_ERROR * alone;
    meanOf(this.#errors, route).note(error, { now, prior });
    const wait = finish - alone;
    if (wait < MEASURABLE) return;
    const ratio = Math.min(MOST, Math.max(LEAST, (took - alone) / wait));
    meanOf(this.#ratios, route).note(ratio, { now, prior: FIRST });
  }
}

function meanOf(
  means: Map<string, fadingMeans.FadingMean>,
  route: string,
): fadingMeans.FadingMean {
  const known = means.get(route) ?? fadingMeans.FadingMean.create(MEAN);
  means.set(route, known);
  return known;
}
