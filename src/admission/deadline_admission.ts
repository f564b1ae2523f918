/** Deadline-aware admission: admits a request only when it is predicted to
 * finish by its deadline, given the work already reserved for admitted
 * requests. A refused request has not run.
 *
 * The predicted time is multiplied by a safety margin, learned for each flow
 * from the actual times of its admitted requests. A small share of the requests
 * that miss the check is admitted as probes, so that a wrong estimate is
 * corrected by new samples.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as backlog from "./backlog.ts";
import type * as stageTimeEstimator from "./stage_time_estimator.ts";
import * as quantileEstimator from "./quantile_estimator.ts";
import * as weight from "./weight.ts";

/** A request to be admitted or refused. */
export interface AdmissionRequest extends weight.Flow {
  id: string;
  /** Absolute time, milliseconds. */
  deadline: number;
  stages: readonly stageTimeEstimator.StageInput[];
}

/** Result of the deadline check. */
export type Decision =
  | {
    type: "admit";
    /** Predicted end of the request, absolute milliseconds. */
    finish: number;
    /** Expected time of each stage in a slot. */
    stages: readonly stageTimeEstimator.Prediction[];
    /** Whether the request is admitted only to collect a sample; such a request
     * must not be dropped before its deadline. */
    probe: boolean;
  }
  | {
    type: "refuse";
    finish: number;
    /** Milliseconds; absent when idle endpoints could not meet the deadline
     * either. */
    retryAfter?: number;
  };

/** Components that the admission decision uses. */
export interface Dependencies {
  estimate: stageTimeEstimator.StageTimeEstimator;
  backlog: backlog.Backlog;
  random: runtime.Random;
}

/** Number of refusals after which one request is admitted as a probe. */
const REFUSALS_PER_PROBE = 50;

/** Minimum interval between probes while no request is in flight. */
const IDLE_PROBE_INTERVAL_MS = 1000;

/** Lower bound of `retryAfter`. */
const MIN_RETRY_AFTER_MS = 100;

/** Number of flows with a margin of their own; further flows share one. */
const MAX_MARGINS = 1024;

/** Parameters of the safety margin, the 80th percentile of actual over
 * predicted time. */
const MARGIN_OPTIONS: quantileEstimator.Options = {
  quantile: 0.8,
  initial: 1.2,
  step: 0.1,
  min: 1,
  max: 2,
};

/** Work reserved for an admitted request. */
interface Reservation {
  request: AdmissionRequest;
  admittedAt: number;
  predictedMs: number;
  stages: readonly stageTimeEstimator.Prediction[];
  /** Index of the first stage whose work is still in the backlog. */
  nextStage: number;
}

/** Counters for the metrics. */
export interface Counts {
  admitted: number;
  refused: number;
  probes: number;
}

/** Decides on arrival and holds the reservations of admitted requests until
 * their end is reported. */
export class DeadlineAdmission {
  readonly #dependencies: Dependencies;
  readonly #reservations = new Map<string, Reservation>();
  readonly #margins = new Map<string, quantileEstimator.QuantileEstimator>();
  #refusalsSinceProbe = 0;
  #lastProbeAt = -Infinity;
  readonly counts: Counts = { admitted: 0, refused: 0, probes: 0 };

  private constructor(dependencies: Dependencies) {
    this.#dependencies = dependencies;
  }

  static create(dependencies: Dependencies): DeadlineAdmission {
    return new DeadlineAdmission(dependencies);
  }

  /** Number of admitted requests that have not ended. */
  get size(): number {
    return this.#reservations.size;
  }

  /** Admits or refuses a request. `finish` must be called for each admitted
   * request. */
  decide(request: AdmissionRequest, now: number): Decision {
    const stages = request.stages.map((input) =>
      this.#dependencies.estimate.predict(input)
    );
    const predictedMs = this.#predictMs(request, stages, now);
    const margin = this.#marginOf(request).value;
    const finish = now + predictedMs * margin;
    const fits = finish <= request.deadline;
    if (!fits && !this.#canProbe(predictedMs, now)) {
      return this.#refuse(request, { stages, finish, margin, now });
    }
    if (!fits) this.#recordProbe(now);
    this.#reserve({
      request,
      admittedAt: now,
      predictedMs,
      stages,
      nextStage: 0,
    });
    return { type: "admit", finish, stages, probe: !fits };
  }

  /** Removes the work of a completed stage from the backlog. */
  completeStage(id: string, stage: number): void {
    const reservation = this.#reservations.get(id);
    if (reservation !== undefined) this.#release(reservation, stage + 1);
  }

  /** Ends a request and releases its reservation. `inTime` is false when it was
   * dropped, exceeded its deadline or was late, and undefined when its end says
   * nothing about load. */
  finish(id: string, now: number, inTime?: boolean): void {
    const reservation = this.#reservations.get(id);
    if (reservation === undefined) return;
    this.#release(reservation, reservation.stages.length);
    this.#reservations.delete(id);
    if (inTime === undefined) return;
    const { request, admittedAt, predictedMs } = reservation;
    const minMs = inTime ? 0 : request.deadline - admittedAt;
    const tookMs = Math.max(now - admittedAt, minMs);
    this.#marginOf(request).observe(tookMs / predictedMs);
  }

  /** Predicted milliseconds from `now` to the end of the last stage. */
  #predictMs(
    request: AdmissionRequest,
    stages: readonly stageTimeEstimator.Prediction[],
    now: number,
  ): number {
    let predictedMs = 0;
    request.stages.forEach((input, i) => {
      const delay = this.#dependencies.backlog.queueingDelay(
        input.service,
        request,
        now,
      );
      predictedMs = Math.max(predictedMs, delay) + stages[i].mean;
    });
    return predictedMs;
  }

  #refuse(
    request: AdmissionRequest,
    prediction: {
      stages: readonly stageTimeEstimator.Prediction[];
      finish: number;
      margin: number;
      now: number;
    },
  ): Decision {
    this.#refusalsSinceProbe++;
    this.counts.refused++;
    const { stages, finish, margin, now } = prediction;
    const idleMs = margin * stages.reduce((sum, stage) => sum + stage.mean, 0);
    if (now + idleMs > request.deadline || finish === Infinity) {
      return { type: "refuse", finish };
    }
    const excess = Math.max(MIN_RETRY_AFTER_MS, finish - request.deadline);
    // Jitter, so that requests refused together are not retried together.
    const retryAfter = Math.ceil(
      excess * (1 + this.#dependencies.random.next()),
    );
    return { type: "refuse", finish, retryAfter };
  }

  #canProbe(predictedMs: number, now: number): boolean {
    if (predictedMs === Infinity) return false;
    if (this.#refusalsSinceProbe >= REFUSALS_PER_PROBE) return true;
    const idle = this.#reservations.size === 0;
    return idle && now - this.#lastProbeAt >= IDLE_PROBE_INTERVAL_MS;
  }

  #recordProbe(now: number): void {
    this.#refusalsSinceProbe = 0;
    this.#lastProbeAt = now;
    this.counts.probes++;
  }

  #reserve(reservation: Reservation): void {
    const { request, stages, admittedAt: now } = reservation;
    this.#reservations.set(request.id, reservation);
    this.counts.admitted++;
    const allowance = request.deadline - now;
    request.stages.forEach(({ service }, i) => {
      const added = { work: stages[i].mean, now, allowance };
      this.#dependencies.backlog.add(service, request, added);
    });
  }

  #release(reservation: Reservation, end: number): void {
    const { request, stages } = reservation;
    while (reservation.nextStage < end) {
      const i = reservation.nextStage++;
      const service = request.stages[i].service;
      this.#dependencies.backlog.remove(service, request, stages[i].mean);
    }
  }

  #marginOf(flow: weight.Flow): quantileEstimator.QuantileEstimator {
    const name = weight.nameOf(flow);
    const found = this.#margins.get(name);
    if (found !== undefined) return found;
    const full = this.#margins.size >= MAX_MARGINS;
    const shared = full ? this.#margins.get("") : undefined;
    if (shared !== undefined) return shared;
    const margin = quantileEstimator.QuantileEstimator.create(MARGIN_OPTIONS);
    this.#margins.set(full ? "" : name, margin);
    return margin;
  }
}
