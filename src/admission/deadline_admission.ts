/** Early refusal: admits a request only when it is predicted to finish in time
 * under what has been promised already. A refused request has not run.
 *
 * The prediction is multiplied by a margin, learnt for each flow from how long
 * its admitted requests really took. A small share of what would be refused is
 * let through as probes, so that a wrong estimate heals.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as backlog from "./backlog.ts";
import type * as estimate from "./stage_time_estimator.ts";
import * as quantile from "./quantile_estimator.ts";
import * as weight from "./weight.ts";

/** A request that asks to be admitted. */
export interface AdmissionRequest extends weight.Flow {
  id: string;
  /** Milliseconds. */
  deadline: number;
  stages: readonly estimate.StageInput[];
}

/** Answer of the gate. */
export type Decision =
  | {
    type: "admit";
    /** When the request should end, milliseconds. */
    finish: number;
    /** Expected time of each stage in a slot. */
    stages: readonly estimate.Prediction[];
    /** True when it is let through only to learn; such a request is not to be
     * dropped before its deadline. */
    probe: boolean;
  }
  | {
    type: "refuse";
    finish: number;
    /** Milliseconds; absent when it could not be met on idle endpoints. */
    retryAfter?: number;
  };

/** Parts that a gate decides by. */
export interface Dependencies {
  estimate: estimate.StageTimeEstimator;
  backlog: backlog.Backlog;
  random: runtime.Random;
}

/** One refusal in so many is let through as a probe. */
const REFUSALS_A_PROBE = 50;

/** Least milliseconds between probes while nothing else is in flight. */
const IDLE_PROBE_INTERVAL = 1000;

/** Least `Retry-After`, milliseconds. */
const LEAST_RETRY_AFTER = 100;

/** Most flows with a margin of their own; others share one. */
const MOST_MARGINS = 1024;

const MARGIN: quantile.Options = {
  quantile: 0.8,
  initial: 1.2,
  step: 0.1,
  min: 1,
  max: 2,
};

interface Commitment {
  ask: AdmissionRequest;
  admitted: number;
  predicted: number;
  stages: readonly estimate.Prediction[];
  /** Stages before this one are done. */
  next: number;
}

/** Counters for the metrics. */
export interface Counts {
  admitted: number;
  refused: number;
  probes: number;
}

/** Decides on arrival; keeps what it promised until it is told of the end. */
export class DeadlineAdmission {
  readonly #basis: Dependencies;
  readonly #commitments = new Map<string, Commitment>();
  readonly #margins = new Map<string, quantile.QuantileEstimator>();
  #refusals = 0;
  #lastProbe = -Infinity;
  readonly counts: Counts = { admitted: 0, refused: 0, probes: 0 };

  private constructor(basis: Dependencies) {
    this.#basis = basis;
  }

  static create(basis: Dependencies): DeadlineAdmission {
    return new DeadlineAdmission(basis);
  }

  /** Requests admitted and not ended. */
  get size(): number {
    return this.#commitments.size;
  }

  /** Admits or refuses; an admitted request must be ended by `finish`. */
  decide(ask: AdmissionRequest, now: number): Decision {
    const stages = ask.stages.map((work) => this.#basis.estimate.predict(work));
    const span = this.#span(ask, stages, now);
    const margin = this.#marginOf(ask).value;
    const finish = now + span * margin;
    const fits = finish <= ask.deadline;
    if (!fits && !this.#mayProbe(span, now)) {
      return this.#refuse(ask, { stages, finish, margin, now });
    }
    if (!fits) this.#countProbe(now);
    this.#commit({ ask, admitted: now, predicted: span, stages, next: 0 });
    return { type: "admit", finish, stages, probe: !fits };
  }

  /** Takes a finished stage off the backlog. */
  completeStage(id: string, stage: number): void {
    const commitment = this.#commitments.get(id);
    if (commitment !== undefined) this.#release(commitment, stage + 1);
  }

  /** Ends a request. `inTime` is false when it was dropped, failed by its
   * deadline or was late; undefined when its end says nothing of load. */
  finish(id: string, now: number, inTime?: boolean): void {
    const commitment = this.#commitments.get(id);
    if (commitment === undefined) return;
    this.#release(commitment, commitment.stages.length);
    this.#commitments.delete(id);
    if (inTime === undefined) return;
    const { ask, admitted, predicted } = commitment;
    const least = inTime ? 0 : ask.deadline - admitted;
    const took = Math.max(now - admitted, least);
    this.#marginOf(ask).observe(took / predicted);
  }

  /** Milliseconds predicted for a request that would come now. */
  #span(
    ask: AdmissionRequest,
    stages: readonly estimate.Prediction[],
    now: number,
  ): number {
    let span = 0;
    ask.stages.forEach((work, i) => {
      const wait = this.#basis.backlog.queueingDelay(work.service, ask, now);
      span = Math.max(span, wait) + stages[i].mean;
    });
    return span;
  }

  #refuse(
    ask: AdmissionRequest,
    by: {
      stages: readonly estimate.Prediction[];
      finish: number;
      margin: number;
      now: number;
    },
  ): Decision {
    this.#refusals++;
    this.counts.refused++;
    const { stages, finish, margin, now } = by;
    const idle = margin * stages.reduce((sum, stage) => sum + stage.mean, 0);
    if (now + idle > ask.deadline || finish === Infinity) {
      return { type: "refuse", finish };
    }
    const over = Math.max(LEAST_RETRY_AFTER, finish - ask.deadline);
    // Spread, so that what was refused together does not return together.
    const retryAfter = Math.ceil(over * (1 + this.#basis.random.next()));
    return { type: "refuse", finish, retryAfter };
  }

  #mayProbe(span: number, now: number): boolean {
    if (span === Infinity) return false;
    if (this.#refusals >= REFUSALS_A_PROBE) return true;
    const idle = this.#commitments.size === 0;
    return idle && now - this.#lastProbe >= IDLE_PROBE_INTERVAL;
  }

  #countProbe(now: number): void {
    this.#refusals = 0;
    this.#lastProbe = now;
    this.counts.probes++;
  }

  #commit(commitment: Commitment): void {
    const { ask, stages, admitted: now } = commitment;
    this.#commitments.set(ask.id, commitment);
    this.counts.admitted++;
    const allowance = ask.deadline - now;
    ask.stages.forEach(({ service }, i) => {
      const promise = { work: stages[i].mean, now, allowance };
      this.#basis.backlog.add(service, ask, promise);
    });
  }

  #release(commitment: Commitment, end: number): void {
    const { ask, stages } = commitment;
    while (commitment.next < end) {
      const i = commitment.next++;
      const service = ask.stages[i].service;
      this.#basis.backlog.remove(service, ask, stages[i].mean);
    }
  }

  #marginOf(flow: weight.Flow): quantile.QuantileEstimator {
    const name = weight.nameOf(flow);
    const found = this.#margins.get(name);
    if (found !== undefined) return found;
    const full = this.#margins.size >= MOST_MARGINS;
    const shared = full ? this.#margins.get("") : undefined;
    if (shared !== undefined) return shared;
    const margin = quantile.QuantileEstimator.create(MARGIN);
    this.#margins.set(full ? "" : name, margin);
    return margin;
  }
}
