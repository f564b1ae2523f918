/** Counts what requests came to and what they cost.
 * @module */

import type * as effect from "./effect.ts";
import type * as execution from "./execution.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Parts of the books. */
export interface Options {
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
}

/** Books of one host. */
export class Books {
  readonly #clock: runtime.Clock;
  readonly #metrics: telemetry.Metrics;

  private constructor({ clock, metrics }: Options) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  static create(options: Options): Books {
    return new Books(options);
  }

  inFlight(count: number): void {
    this.#metrics.gauge("request.in_flight", count);
  }

  called(attempt: request.Attempt): void {
    if (attempt.hedge) this.#metrics.count("call.hedged");
    else if (attempt.attempt > 1) this.#metrics.count("call.retried");
  }

  /** Books what an answered call used. */
  charge(service: string, usage: request.Usage): void {
    const labels = { service };
    const metrics = this.#metrics;
    metrics.count("cost.engine_time", usage.engineTime, labels);
    metrics.count("cost.input_tokens", usage.inputTokens, labels);
    metrics.count("cost.output_tokens", usage.outputTokens, labels);
    metrics.count("cost.cached_tokens", usage.cachedTokens, labels);
  }

  /** Books the time of a call whose result is not used; an upper bound, since
   * the endpoint does not say what it spent. */
  waste({ target }: execution.Job, attempt: request.Attempt): void {
    const { service } = target.steps[attempt.stage];
    const elapsed = this.#clock.now() - attempt.started;
    this.#metrics.count("cost.wasted_time", elapsed, { service });
  }

  completed({ request }: execution.Job): void {
    const now = this.#clock.now();
    const metrics = this.#metrics;
    metrics.count("request.completed");
    if (now < request.deadline) metrics.count("request.on_time");
    metrics.time("request.duration", now - request.arrived);
    metrics.time("request.slack", request.deadline - now);
  }

  refused({ name }: effect.Problem): void {
    if (name === "abandoned") this.#metrics.count("request.abandoned");
    else this.#metrics.count("request.refused", 1, { problem: name });
  }
}
