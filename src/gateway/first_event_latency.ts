/** Latency model of the first event of a prompt on a service's engines, learnt
 * from calls.
 *
 * The latency grows with the prompt tokens to prefill before the event and with
 * the running streams; between deployments it differs by a factor of ten and
 * more.
 * @module */

import * as regression from "../admission/regression.ts";

/** Prior of the fit: milliseconds of an idle engine, per 1,000 tokens to
 * prefill, and per running stream. Observations soon outweigh it; its ratios
 * give the shape of the fit while there are few. */
const PRIOR: regression.Coefficients = { constant: 60, first: 30, second: 5 };
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

  /** State for diagnostics. */
  toJSON(): unknown {
    return this.#fit.toJSON();
  }
}
