/** How long the calls of each route take, from the call to the end of its answer.
 * A host that stops makes no call that it would have to cut off.
 * @module */

import * as configurations from "../configuration/mod.ts";

/** Weights of a new sample in the mean and in the mean deviation, as in the
 * retransmission timer of TCP (RFC 6298). */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Mean deviations by which a call may take longer than the mean. One that is
 * repeated elsewhere costs less than the outcome of one that is not. */
const DEVIATION_COUNT = 1;
const UNREPEATABLE_DEVIATION_COUNT = 4;

interface Duration {
  readonly mean: number;
  readonly deviation: number;
}

/** Durations by route; changed in place. */
export class CallDurations {
  readonly #durations = new Map<string, Duration>();

  static create(): CallDurations {
    return new CallDurations();
  }

  /** Records the milliseconds from a call to the end of its answer. */
  record({ name }: configurations.Route, ms: number): void {
    const known = this.#durations.get(name);
    if (known === undefined) {
      this.#durations.set(name, { mean: ms, deviation: ms / 2 });
      return;
    }
    const { mean, deviation } = known;
    const difference = Math.abs(ms - mean);
    this.#durations.set(name, {
      mean: mean + MEAN_GAIN * (ms - mean),
      deviation: deviation + DEVIATION_GAIN * (difference - deviation),
    });
  }

  /** Milliseconds within which a call is expected to have ended; the objective of
   * its route before the first sample. */
  expected(route: configurations.Route): number {
    const known = this.#durations.get(route.name);
    if (known === undefined) return route.objective;
    const count = configurations.isIdempotent(route)
      ? DEVIATION_COUNT
      : UNREPEATABLE_DEVIATION_COUNT;
    return known.mean + count * known.deviation;
  }
}
