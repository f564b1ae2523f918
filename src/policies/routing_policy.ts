/** Routing policy of a dispatcher: choice of endpoints, retries and hedges.
 * @module */

import type * as admission from "../admission/mod.ts";
import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as routing from "../routing/mod.ts";
import * as progressTrackers from "./progress_tracker.ts";

/** Options of a `RoutingPolicy`. */
export interface RoutingPolicyOptions {
  dataCentre: string;
  random: runtime.Random;
  /** Estimates of call durations, and the budget for extra cost. */
  controls: admission.controller.AdmissionController;
}

/** Fraction of an engine's call that the prefill takes. */
const PREFILL_RATIO = 0.3;

/** A stream is moved to another endpoint after this multiple of the straggler
 * threshold, or of the mean duration if the deadline is near. */
const SLOW_STREAM_RATIO = 2;
/** Time that a call at another endpoint needs, as a multiple of the high
 * estimate. */
const ALTERNATIVE_TIME_RATIO = 1.5;

/** Utilisation of a service below which a retry needs no budget. */
const LOW_UTILISATION_RATIO = 0.5;

/** Failures that are not evidence against the endpoint. */
const NEUTRAL_FAILURES: ReadonlySet<request.FailureReason> = new Set([
  "deadline",
]);

/** Routing, retry and hedging decisions of one dispatcher. Mutable. */
export class RoutingPolicy implements policySet.Choice {
  readonly #options: RoutingPolicyOptions;
  readonly #router: routing.router.Router;
  /** The last started and the last failed call of each stage. */
  readonly #lastStarted = new WeakMap<policySet.Work, request.Attempt>();
  readonly #lastFailed = new WeakMap<policySet.Work, request.Attempt>();
  readonly #progress = progressTrackers.ProgressTracker.create();

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
    const isEngine = stageOf(work).kind === "engine";
    const call = {
      work: mean,
      prefill: isEngine ? PREFILL_RATIO * mean : 0,
      prefix: work.prefix,
      avoid: work.avoid,
      probe: work.request.idempotent,
    };
    const { service } = pool;
    const chosen = this.#chooseDecoder(service, call, now) ??
      this.#chooseDecoder(service, { ...call, avoid: [] }, now);
    const member = chosen && pool.member(chosen.endpoint);
    if (member === undefined) return undefined;
    return member.inFlight < member.endpoint.slots ? member : undefined;
  }

  /** Milliseconds until a failed stage is retried; undefined if it is not. */
  retryDelay(
    work: policySet.Work,
    failure: request.Failure,
    now: number,
  ): number | undefined {
    const attempt = this.#lastFailed.get(work);
    if (attempt === undefined) return undefined;
    const { service } = stageOf(work);
    const { group, retryBudget } = this.#router.service(service, now);
    const call = {
      attempt,
      failure,
      idempotent: work.request.idempotent,
      deadline: work.request.deadline,
      estimate: this.#options.controls.predict(work).low,
      others: group.size > work.avoid.length,
    };
    const { random } = this.#options;
    const budget = { take: () => this.#canAfford(group, retryBudget, now) };
    const decision = routing.retry.decide(call, { budget, random, now });
    return decision.type === "retry" ? decision.at - now : undefined;
  }

  /** Milliseconds after which a call may be hedged: the straggler threshold if
   * the flow has budget for extra cost, otherwise the time after which the call
   * counts as hung. */
  hedgeDelay(work: policySet.Work, now: number): number | undefined {
    const { cost } = this.#options.controls;
    const { hedgePolicy } = this.#serviceOf(work, now);
    const hangTimeout = this.#hangTimeout(work, now);
    const mean = this.#options.controls.predict(work).mean;
    if (cost.budget(work.request) < mean) return hangTimeout;
    return Math.min(
      hangTimeout,
      hedgePolicy.stragglerThreshold(work.size) ?? Infinity,
    );
  }

  /** Whether a hedge may start. For a hung call it is paid from the retry
   * budget, for a straggler from the flow's budget for extra cost. */
  allowHedge(work: policySet.Work, now: number): boolean {
    const started = this.#lastStarted.get(work)?.started ?? now;
    if (now - started >= this.#hangTimeout(work, now)) {
      return this.#serviceOf(work, now).retryBudget.take(now);
    }
    const { controls } = this.#options;
    return controls.cost.spend(work.request, controls.predict(work).mean);
  }

  /** Time at which a call counts as hung; see `policySet.Hedge`. */
  hangsAt(
    work: policySet.Work,
    { attempt, at, receiving }: policySet.Progress,
    now: number,
  ): number {
    const { hedgePolicy } = this.#serviceOf(work, now);
    const { size } = work;
    const hungAt = hedgePolicy.hangsAt({ size, receiving, progressed: at });
    // A slow stream is moved once; a call without progress is hedged instead.
    if (!receiving || attempt.attempt > 1) return hungAt;
    const { mean, high } = this.#options.controls.predict(work);
    const stragglerThreshold = hedgePolicy.stragglerThreshold(size) ?? Infinity;
    // Thresholds by size take long to learn, so the estimate gives the last
    // time at which another endpoint can still finish before the deadline.
    const lastMoveAt = work.request.deadline - ALTERNATIVE_TIME_RATIO * high;
    const slowAt = Math.max(
      lastMoveAt,
      attempt.started + SLOW_STREAM_RATIO * mean,
    );
    return Math.min(
      hungAt,
      slowAt,
      attempt.started + SLOW_STREAM_RATIO * stragglerThreshold,
    );
  }

  /** Whether a hung call may be replaced; paid from the retry budget. */
  allowReplacement(work: policySet.Work, now: number): boolean {
    const { low } = this.#options.controls.predict(work);
    const remaining = work.request.deadline - now;
    // Tokens that were received are not generated again, so the estimate
    // applies only if there are none.
    if (work.received === 0 && low > remaining) return false;
    const { group, retryBudget } = this.#serviceOf(work, now);
    return this.#canAfford(group, retryBudget, now);
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
    this.#lastStarted.set(work, attempt);
    this.#progress.start(attempt, { service, size: work.size }, now);
    if (attempt.attempt === 1) this.#router.deposit(service, undefined, now);
    const blocks = kind === "engine" ? work.prefix : [];
    this.#router.service(service, now).group.startCall(
      attempt.endpoint,
      blocks,
      now,
    );
  }

  progressed(attempt: request.Attempt, _received: number, now: number): void {
    const gap = this.#progress.progress(attempt, now);
    if (gap === undefined) return;
    const { hedgePolicy } = this.#router.service(gap.service, now);
    hedgePolicy.observeProgress(gap.size, gap);
  }

  finished(ended: request.Request): void {
    this.#progress.forget(ended.id);
  }

  dump(now: number): unknown {
    return { routing: this.#router.dump(now) };
  }

  ended(report: policySet.AttemptReport, now: number): void {
    const { attempt, work, elapsed } = report;
    const { group, hedgePolicy } = this.#serviceOf(work, now);
    const mean = this.#options.controls.predict(work).mean;
    const end = evidence[report.result](report, elapsed / mean);
    group.endCall(attempt.endpoint, end, now);
    if (report.result === "answered") hedgePolicy.observe(work.size, elapsed);
    if (report.result === "failed") this.#lastFailed.set(work, attempt);
  }

  /** Chooses an endpoint that can decode. Prefill-only engines are excluded,
   * since their KV cache is not transferred. */
  #chooseDecoder(
    service: string,
    call: Omit<routing.endpointChoice.Call, "role">,
    now: number,
  ): routing.endpointChoice.Choice | undefined {
    return this.#router.choose(service, { ...call, role: "both" }, now) ??
      this.#router.choose(service, { ...call, role: "decode" }, now);
  }

  /** Whether a call may be repeated: paid from the retry budget, which keeps
   * failures from multiplying the load, or free while utilisation is low. */
  #canAfford(
    { utilisation }: routing.endpointGroup.EndpointGroup,
    retryBudget: routing.extraCallBudget.ExtraCallBudget,
    now: number,
  ): boolean {
    return retryBudget.take(now) || utilisation < LOW_UTILISATION_RATIO;
  }

  #hangTimeout(work: policySet.Work, now: number): number {
    const { hedgePolicy } = this.#serviceOf(work, now);
    return hedgePolicy.hangThreshold({ size: work.size, receiving: false });
  }

  #serviceOf(work: policySet.Work, now: number): routing.router.ServiceState {
    return this.#router.service(stageOf(work).service, now);
  }
}

function stageOf(work: policySet.Work): request.Stage {
  return work.request.stages[work.stage];
}

/** Evidence about an endpoint from the end of a call, by result. */
const evidence: Record<
  policySet.AttemptReport["result"],
  (
    report: policySet.AttemptReport,
    slowness: number,
  ) => routing.endpointGroup.CallResult
> = {
  answered: ({ elapsed }, slowness) => {
    return { observation: { ok: true, slowness }, serviceTime: elapsed };
  },
  failed: ({ failure }) => {
    const isNeutral = failure !== undefined &&
      NEUTRAL_FAILURES.has(failure.reason);
    return isNeutral ? {} : { observation: { ok: false } };
  },
  // The elapsed time is a lower bound of the duration.
  cancelled: (_report, slowness) => {
    return slowness > 1 ? { observation: { ok: true, slowness } } : {};
  },
};
