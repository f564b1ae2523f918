/** How long a service's engines take to the first event of a prompt, learnt from
 * this host's own calls.
 *
 * The time grows with the prompt tokens that must be read before it and with the
 * streams under way; engines differ by deployment by ten times and more.
 * @module */

import * as regression from "../admission/regression.ts";

/** Before any call: milliseconds of an idle engine, for 1,000 tokens to read,
 * and for a stream under way. What is learnt soon outweighs it; the ratios give
 * the shape where calls are few. */
const PRIOR: regression.Coefficients = { constant: 60, first: 30, second: 5 };
/** Tokens of one unit of the fit. */
const UNIT = 1000;

/** What an engine has to do before a first event. */
export interface PendingWork {
  /** Prompt tokens that it must read. */
  readonly tokens: number;
  /** Streams of this host under way there. */
  readonly streams: number;
}

/** First events of the engines of one service; changed in place. */
export class FirstEventLatency {
  readonly #fit = regression.Regression.create(PRIOR);

  static create(): FirstEventLatency {
    return new FirstEventLatency();
  }

  /** Milliseconds to be expected. */
  predict({ tokens, streams }: PendingWork): number {
    return this.#fit.predict(tokens / UNIT, streams);
  }

  /** Notes how many milliseconds a first event took. */
  observe({ tokens, streams }: PendingWork, took: number): void {
    this.#fit.observe([tokens / UNIT, streams], took);
  }

  /** State for people. */
  toJSON(): unknown {
    return this.#fit.toJSON();
  }
}
