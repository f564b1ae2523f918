/** Latency model of the first event of a prompt on a service's engines, learnt
 * from calls.
 *
 * The latency grows with the prompt tokens to prefill before the event and with
 * the running streams; between deployments it differs by a factor of ten and
 * more.
 * @module */

import * as regression from "../admission/regression.ts";
import * as performances from "../performance/mod.ts";

/** Prior of the fit: milliseconds of an idle engine, per 1,000 tokens to
 * prefill, and per running stream. Observations soon outweigh it; its ratios
 * give the shape of the fit while there are few. */
const PRIOR: regression.Coefficients = { constant: 60, first: 30, second: 5 };
/** Observations from which times are compared with the fit: before, its level
 * is mostly that of the prior, which may be wrong by a factor of ten. */
const MIN_COMPARED_COUNT = 10;
/** Number of tokens in one unit of the fit. */
const TOKEN_UNIT = 1000;

/** Work of an engine before a first event. */
export interface PendingWork {
  /** Prompt tokens to prefill. */
  readonly tokens: number;
  /** Running streams. */
  readonly streams: number;
}

/** First-event latency of one service's engines; changed in place. */
export class FirstEventLatency {
  readonly #fit = regression.Regression.create(PRIOR);
  /** Mean of observed times relative to predicted ones. */
  readonly #meanRatio = performances.MeanDuration.create();

  static create(): FirstEventLatency {
    return new FirstEventLatency();
  }

  /** Expected milliseconds to a first event. */
  predict({ tokens, streams }: PendingWork): number {
    return this.#fit.predict(tokens / TOKEN_UNIT, streams);
  }

  /** Learns from a first event that took `elapsed` milliseconds. */
  observe({ tokens, streams }: PendingWork, elapsed: number): void {
    this.#fit.observe([tokens / TOKEN_UNIT, streams], elapsed);
  }

  /** The time to a first event relative to the time that the service's engines
   * typically take for the same work; undefined while too little is known.
   * Learns from the time, which an engine of the given lasting slowness took. */
  compare(
    { tokens, streams }: PendingWork,
    { elapsed, slowness }: { elapsed: number; slowness: number },
  ): number | undefined {
    if (this.#fit.samples < MIN_COMPARED_COUNT || elapsed <= 0) {
      return undefined;
    }
    const value = elapsed / this.predict({ tokens, streams });
    const { value: mean } = this.#meanRatio;
    this.#meanRatio.observe(value / slowness);
    return mean && value / mean;
  }

  /** State for diagnostics. */
  toJSON(): unknown {
    return this.#fit.toJSON();
  }
}
