/** Metrics of the results and the cost of requests.
 * @module */

import * as attainment from "./attainment.ts";
import type * as effect from "./effect.ts";
import type * as executor from "./executor.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Why a call's result was not used: it failed or hung and was retried, it lost
 * the race against a hedge, or its request ended first. */
export type WasteCause = "retry" | "hedge" | "cancelled";

/** Dependencies of the accounting. */
export interface Options {
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
}

/** Accounting of one host. */
export class Accounting {
  readonly #clock: runtime.Clock;
  readonly #metrics: telemetry.Metrics;
  readonly #attainment = attainment.Attainment.create();

  private constructor({ clock, metrics }: Options) {
    this.#clock = clock;
    this.#metrics = metrics;
  }

  static create(options: Options): Accounting {
    return new Accounting(options);
  }

  inFlight(count: number): void {
    this.#metrics.gauge("request.in_flight", count);
  }

  called(attempt: request.Attempt): void {
    if (attempt.hedge) this.#metrics.count("call.hedged");
    else if (attempt.attempt > 1) this.#metrics.count("call.retried");
  }

  /** Counts the resource usage of an answered call. */
  charge(job: executor.Job, attempt: request.Attempt, usage: request.Usage) {
    const labels = callLabelsOf(job, attempt);
    const metrics = this.#metrics;
    metrics.count("cost.engine_time", usage.engineTime, labels);
    metrics.count("cost.input_tokens", usage.inputTokens, labels);
    metrics.count("cost.output_tokens", usage.outputTokens, labels);
    metrics.count("cost.cached_tokens", usage.cachedTokens, labels);
  }

  /** Counts the time of a call whose result is not used. This is an upper bound,
   * since the endpoint does not report what it spent. */
  waste(job: executor.Job, attempt: request.Attempt, fate: WasteCause): void {
    const labels = { ...callLabelsOf(job, attempt), fate };
    const elapsed = this.#clock.now() - attempt.started;
    this.#metrics.count("cost.wasted_calls", 1, labels);
    this.#metrics.count("cost.wasted_time", elapsed, labels);
  }

  /** Counts a call that was cancelled because it hung. */
  hung({ target }: executor.Job, attempt: request.Attempt): void {
    const { service } = target.steps[attempt.stage];
    this.#metrics.count("call.hung", 1, { service });
  }

  completed({ request }: executor.Job): void {
    const now = this.#clock.now();
    const metrics = this.#metrics;
    const labels = requestLabelsOf(request);
    const onTime = now < request.deadline;
    this.#attainment.count(request.account, onTime ? "onTime" : "late");
    metrics.count("request.completed", 1, labels);
    if (onTime) metrics.count("request.on_time", 1, labels);
    metrics.time("request.duration", now - request.arrived);
    metrics.time("request.slack", request.deadline - now);
  }

  refused({ account, kind }: request.Request, { name }: effect.Problem): void {
    const labels = { account, kind };
    if (name === "abandoned") {
      this.#attainment.count(account, "abandoned");
      this.#metrics.count("request.abandoned", 1, labels);
      return;
    }
    this.#attainment.count(account, "refused");
    this.#metrics.count("request.refused", 1, { ...labels, problem: name });
  }

  /** Request counts by account and result, for the state dump. */
  dump(): unknown {
    return this.#attainment.toJSON();
  }
}

function requestLabelsOf({ account, kind }: request.Request): telemetry.Labels {
  return { account, kind };
}

function callLabelsOf(
  { target, request }: executor.Job,
  attempt: request.Attempt,
): telemetry.Labels {
  const { service, name } = target.steps[attempt.stage];
  return { service, stage: name, ...requestLabelsOf(request) };
}
