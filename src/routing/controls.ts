/** Choice, retries and hedges as the parts of a dispatcher's policy set. One
 * object plays them, since all learn from the same calls.
 * @module */

import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as health from "./health.ts";
import * as retry from "./retry.ts";
import * as router from "./router.ts";

/** A stage as estimates know it. */
export interface Task {
  service: string;
  stage: string;
  /** Tokens of input. */
  size: number;
  maxTokens: number;
}

/** Tells how long a stage takes at an idle, typical endpoint. */
export interface Predictor {
  predict(task: Task): { mean: number };
}

/** What controls are made from. */
export interface Options {
  random: runtime.Random;
  dataCentre: string;
  predictor: Predictor;
}

interface Running {
  attempt: request.Attempt;
  service: string;
  size: number;
  progressed: number;
  receiving: boolean;
}

/** Times of the expected work that must be left for a probe. */
const SPARE_FOR_PROBE = 3;

/** Whether a failure is held against its endpoint's health. */
const BLAMED: Readonly<Record<request.FailureReason, boolean>> = {
  refused: false,
  connection: true,
  silent: true,
  mismatch: true,
  "broken-stream": true,
  error: true,
  deadline: false,
};

/** Decisions of routing; changes its containers in place. Observes for all
 * three parts. */
export class Controls implements policySet.Choice {
  /** Whether a failed stage is tried again; takes from the budget. */
  readonly retries: policySet.Retries = {
    delay: (work, failure, now) => this.#retryDelay(work, failure, now),
  };
  /** When a slow call gets a second one; takes from the budget. */
  readonly hedge: policySet.Hedge = {
    delay: (work, _first, now) =>
      this.#service(work, now).hedges.straggling(work.size),
    allow: (work, now) => this.#allow(work, now),
  };
  readonly #router: router.Router;
  readonly #random: runtime.Random;
  readonly #predictor: Predictor;
  /** First calls, hedges left out, by request. */
  readonly #running = new Map<string, Running>();
  #policies: request.Policies = new Map();

  private constructor(options: Options) {
    this.#router = router.Router.create(options);
    this.#random = options.random;
    this.#predictor = options.predictor;
  }

  /** Controls that know no endpoint. */
  static create(options: Options): Controls {
    return new Controls(options);
  }

  choose(
    work: policySet.Work,
    pool: policySet.Pool,
    now: number,
  ): policySet.Member | undefined {
    const { service } = pool;
    const mean = this.#predict(work, work.size);
    const prefill = work.prefix.length === 0
      ? 0
      : Math.max(0, mean - this.#predict(work, 0));
    const { idempotent, deadline } = work.request;
    const call = {
      work: mean,
      prefill,
      prefix: work.prefix,
      role: "both" as const,
      avoid: this.#others(work, now) ? work.avoid : [],
      probe: idempotent && deadline - now > SPARE_FOR_PROBE * mean,
    };
    const chosen = this.#router.choose(service, call, now) ??
      this.#router.choose(service, { ...call, role: "decode" }, now);
    return chosen && pool.member(chosen.endpoint);
  }

  policies(policies: request.Policies): void {
    this.#policies = policies;
  }

  endpoints(endpoints: readonly request.Endpoint[], now: number): void {
    this.#router.update({ type: "endpoints", endpoints }, now);
  }

  load(endpoint: string, load: request.Load, now: number): void {
    this.#router.update({ type: "load", endpoint, load }, now);
  }

  cache(change: request.Event & { type: "cache" }, now: number): void {
    this.#router.update(change, now);
  }

  started(attempt: request.Attempt, work: policySet.Work, now: number): void {
    const { group } = this.#service(work, now);
    group.send(attempt.endpoint, work.prefix, now);
    if (attempt.hedge) return;
    this.#running.set(work.request.id, {
      attempt,
      service: serviceOf(work),
      size: work.size,
      progressed: now,
      receiving: false,
    });
    if (attempt.attempt > 1) return;
    this.#router.request(serviceOf(work), this.#spend(work), now);
  }

  progressed(attempt: request.Attempt, _received: number, now: number): void {
    const running = this.#running.get(attempt.request);
    if (running?.attempt.attempt !== attempt.attempt) return;
    const { size, service } = running;
    const pause = { ms: now - running.progressed, first: !running.receiving };
    this.#router.service(service, now).hedges.progress(size, pause);
    running.progressed = now;
    running.receiving = true;
  }

  ended(report: policySet.Report, now: number): void {
    const { attempt, work, elapsed, failure } = report;
    const { group, hedges } = this.#service(work, now);
    const answered = report.result === "answered";
    const service = answered ? elapsed : undefined;
    const seen = this.#observation(report);
    group.end(attempt.endpoint, { seen, service }, now);
    if (answered) hedges.finish(work.size, elapsed);
    if (failure?.reason === "refused" && failure.retryAfter !== undefined) {
      group.ejection.hold(attempt.endpoint, failure.retryAfter, now);
    }
  }

  finished(ended: request.Request): void {
    this.#running.delete(ended.id);
  }

  dump(now: number): unknown {
    return this.#router.dump(now);
  }

  /** What an ended call says of its endpoint. A cancelled one says something
   * only where it took longer than expected already. */
  #observation(report: policySet.Report): health.Observation | undefined {
    const { work, elapsed, failure, result } = report;
    if (failure !== undefined) {
      return BLAMED[failure.reason] ? { ok: false } : undefined;
    }
    const slowness = elapsed / Math.max(1, this.#predict(work, work.size));
    if (result === "cancelled" && slowness <= 1) return undefined;
    return { ok: true, slowness };
  }

  /** A hang is paid for as a retry, a straggler from what may be spent. */
  #allow(work: policySet.Work, now: number): boolean {
    const running = this.#running.get(work.request.id);
    if (running === undefined) return false;
    const { hedges, spend, retries } = this.#service(work, now);
    const { idempotent, deadline } = work.request;
    const call = { ...running, idempotent, deadline };
    const known = { ...call, hedged: false, others: true };
    const decision = hedges.decide(known, spend, now);
    if (decision.type === "replace") return retries.take(now);
    return decision.type === "hedge";
  }

  #retryDelay(
    work: policySet.Work,
    failure: request.Failure,
    now: number,
  ): number | undefined {
    const attempt = this.#running.get(work.request.id)?.attempt;
    if (attempt === undefined) return undefined;
    const { idempotent, deadline } = work.request;
    const call = {
      attempt,
      failure,
      idempotent,
      deadline,
      estimate: this.#predict(work, work.size),
      others: this.#others(work, now),
    };
    const budget = this.#service(work, now).retries;
    const decided = retry.decide(call, { budget, random: this.#random, now });
    return decided.type === "retry" ? decided.at - now : undefined;
  }

  /** Whether an endpoint is left that did not fail this work. */
  #others(work: policySet.Work, now: number): boolean {
    const { group } = this.#service(work, now);
    return work.avoid.length === 0 || group.hasOther(work.avoid);
  }

  #service(work: policySet.Work, now: number): router.Service {
    return this.#router.service(serviceOf(work), now);
  }

  #predict(work: policySet.Work, size: number): number {
    const { name, service, maxTokens } = work.request.stages[work.stage];
    const task = { service, stage: name, size, maxTokens };
    return this.#predictor.predict(task).mean;
  }

  #spend({ request }: policySet.Work): number | undefined {
    const first = this.#policies.get(`account/${request.account}`)?.spend;
    return first ?? this.#policies.get(`kind/${request.kind}`)?.spend;
  }
}

function serviceOf(work: policySet.Work): string {
  return work.request.stages[work.stage].service;
}
