/** Routing as the parts of a dispatcher's policy set: choice, retries, hedges.
 * @module */

import type * as admission from "../admission/mod.ts";
import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as routing from "../routing/mod.ts";
import * as paces from "./progress_tracker.ts";

/** What routes are made from. */
export interface RoutingPolicyOptions {
  dataCentre: string;
  random: runtime.Random;
  /** Estimates of work, and the budget for extra cost. */
  controls: admission.controller.AdmissionController;
}

/** Share of an engine's call that the prefill takes. */
const PREFILL = 0.3;

/** Times the bound of stragglers, or the mean where the deadline is near,
 * after which a stream goes on elsewhere. */
const SLOW = 2;
/** Times the high estimate of a call that another endpoint needs. */
const LAST = 1.5;

/** Share of a service's slots in use below which a retry needs no budget. */
const SPARE = 0.5;

/** Failures that say nothing of the endpoint's health. */
const BLAMELESS: ReadonlySet<request.FailureReason> = new Set(["deadline"]);

/** Decisions of routing; changes its containers in place. */
export class RoutingPolicy implements policySet.Choice {
  readonly #options: RoutingPolicyOptions;
  readonly #router: routing.router.Router;
  /** Last call of a stage that started, and last that failed. */
  readonly #started = new WeakMap<policySet.Work, request.Attempt>();
  readonly #failed = new WeakMap<policySet.Work, request.Attempt>();
  readonly #paces = paces.ProgressTracker.create();

  private constructor(options: RoutingPolicyOptions) {
    this.#options = options;
    const { dataCentre, random } = options;
    this.#router = routing.router.Router.create({ dataCentre, random });
  }

  static create(options: RoutingPolicyOptions): RoutingPolicy {
    return new RoutingPolicy(options);
  }

  choose(
    work: policySet.Work,
    pool: policySet.Pool,
    now: number,
  ): policySet.Member | undefined {
    const mean = this.#options.controls.predict(work).mean;
    const engine = stageOf(work).kind === "engine";
    const call = {
      work: mean,
      prefill: engine ? PREFILL * mean : 0,
      prefix: work.prefix,
      avoid: work.avoid,
      probe: work.request.idempotent,
    };
    const { service } = pool;
    const chosen = this.#among(service, call, now) ??
      this.#among(service, { ...call, avoid: [] }, now);
    const member = chosen && pool.member(chosen.endpoint);
    if (member === undefined) return undefined;
    return member.inFlight < member.endpoint.slots ? member : undefined;
  }

  /** Milliseconds before a failed stage is tried again; undefined for never. */
  retryDelay(
    work: policySet.Work,
    failure: request.Failure,
    now: number,
  ): number | undefined {
    const attempt = this.#failed.get(work);
    if (attempt === undefined) return undefined;
    const { service } = stageOf(work);
    const { group, retryBudget: retries } = this.#router.service(service, now);
    const call = {
      attempt,
      failure,
      idempotent: work.request.idempotent,
      deadline: work.request.deadline,
      estimate: this.#options.controls.predict(work).low,
      others: group.size > work.avoid.length,
    };
    const { random } = this.#options;
    const budget = { take: () => this.#pays(group, retries, now) };
    const decided = routing.retry.decide(call, { budget, random, now });
    return decided.type === "retry" ? decided.at - now : undefined;
  }

  /** Milliseconds after which a call may be raced against a second one: a
   * straggler where its flow has budget, or else a hang. */
  hedgeDelay(work: policySet.Work, now: number): number | undefined {
    const { cost } = this.#options.controls;
    const { hedgePolicy: hedges } = this.#serviceOf(work, now);
    const hang = this.#hang(work, now);
    const mean = this.#options.controls.predict(work).mean;
    if (cost.budget(work.request) < mean) return hang;
    return Math.min(hang, hedges.stragglerThreshold(work.size) ?? Infinity);
  }

  /** Whether the second call may start: a hang is paid as a retry is, a
   * straggler by the extra cost that the table grants. */
  allowHedge(work: policySet.Work, now: number): boolean {
    const started = this.#started.get(work)?.started ?? now;
    if (now - started >= this.#hang(work, now)) {
      return this.#serviceOf(work, now).retryBudget.take(now);
    }
    const { controls } = this.#options;
    return controls.cost.spend(work.request, controls.predict(work).mean);
  }

  /** When a call counts as hung; see `policySet.Hedge`. */
  hangsAt(
    work: policySet.Work,
    { attempt, at, receiving }: policySet.Progress,
    now: number,
  ): number {
    const { hedgePolicy: hedges } = this.#serviceOf(work, now);
    const { size } = work;
    const hang = hedges.hangsAt({ size, receiving, progressed: at });
    // A stream that trickles is moved once; one that has not begun is hedged.
    if (!receiving || attempt.attempt > 1) return hang;
    const { mean, high } = this.#options.controls.predict(work);
    const straggling = hedges.stragglerThreshold(size) ?? Infinity;
    // What is learnt by size takes long: the estimate tells the last moment
    // at which another endpoint can finish in time.
    const last = work.request.deadline - LAST * high;
    const due = Math.max(last, attempt.started + SLOW * mean);
    return Math.min(hang, due, attempt.started + SLOW * straggling);
  }

  /** Whether a hung call may be replaced; paid as a retry is. */
  allowReplacement(work: policySet.Work, now: number): boolean {
    const { low } = this.#options.controls.predict(work);
    const left = work.request.deadline - now;
    // What was received already need not be made again.
    if (work.received === 0 && low > left) return false;
    const { group, retryBudget: retries } = this.#serviceOf(work, now);
    return this.#pays(group, retries, now);
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
    const { service, kind } = stageOf(work);
    this.#started.set(work, attempt);
    this.#paces.start(attempt, { service, size: work.size }, now);
    if (attempt.attempt === 1) this.#router.deposit(service, undefined, now);
    const blocks = kind === "engine" ? work.prefix : [];
    this.#router.service(service, now).group.startCall(
      attempt.endpoint,
      blocks,
      now,
    );
  }

  progressed(attempt: request.Attempt, _received: number, now: number): void {
    const pace = this.#paces.progress(attempt, now);
    if (pace === undefined) return;
    const { hedgePolicy: hedges } = this.#router.service(pace.service, now);
    hedges.observeProgress(pace.size, pace);
  }

  finished(ended: request.Request): void {
    this.#paces.forget(ended.id);
  }

  dump(now: number): unknown {
    return { routing: this.#router.dump(now) };
  }

  ended(report: policySet.Report, now: number): void {
    const { attempt, work, elapsed } = report;
    const { group, hedgePolicy: hedges } = this.#serviceOf(work, now);
    const mean = this.#options.controls.predict(work).mean;
    const end = ends[report.result](report, elapsed / mean);
    group.endCall(attempt.endpoint, end, now);
    if (report.result === "answered") hedges.observe(work.size, elapsed);
    if (report.result === "failed") this.#failed.set(work, attempt);
  }

  /** Engines that prefill only get no calls: their KV cache is not moved. */
  #among(
    service: string,
    call: Omit<routing.endpointChoice.Call, "role">,
    now: number,
  ): routing.endpointChoice.Choice | undefined {
    return this.#router.choose(service, { ...call, role: "both" }, now) ??
      this.#router.choose(service, { ...call, role: "decode" }, now);
  }

  /** Whether a call may be made again: from the budget, which keeps failures
   * from multiplying the load, or while most slots are free anyway. */
  #pays(
    { utilisation }: routing.endpointGroup.EndpointGroup,
    retries: routing.extraCallBudget.ExtraCallBudget,
    now: number,
  ): boolean {
    return retries.take(now) || utilisation < SPARE;
  }

  #hang(work: policySet.Work, now: number): number {
    const { hedgePolicy: hedges } = this.#serviceOf(work, now);
    return hedges.hangThreshold({ size: work.size, receiving: false });
  }

  #serviceOf(work: policySet.Work, now: number): routing.router.ServiceState {
    return this.#router.service(stageOf(work).service, now);
  }
}

function stageOf(work: policySet.Work): request.Stage {
  return work.request.stages[work.stage];
}

/** What the end of a call tells of its endpoint, by how it ended. */
const ends: Record<
  policySet.Report["result"],
  (
    report: policySet.Report,
    slowness: number,
  ) => routing.endpointGroup.CallResult
> = {
  answered: ({ elapsed }, slowness) => {
    return { observation: { ok: true, slowness }, serviceTime: elapsed };
  },
  failed: ({ failure }) => {
    const blameless = failure !== undefined && BLAMELESS.has(failure.reason);
    return blameless ? {} : { observation: { ok: false } };
  },
  // The time so far is a lower bound.
  cancelled: (_report, slowness) => {
    return slowness > 1 ? { observation: { ok: true, slowness } } : {};
  },
};
