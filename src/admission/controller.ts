/** Implements the admission, queue and estimate interfaces of a dispatcher's
 * policy set.
 *
 * One object implements all three, since they share the learned estimates and
 * the reserved work: admission by rate and concurrency limits and by predicted
 * finish time, a weighted fair queue for each service, and the remaining time
 * of a request.
 * @module */

import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as backlog from "./backlog.ts";
import * as costLedger from "./cost_ledger.ts";
import * as stageTimeEstimator from "./stage_time_estimator.ts";
import * as deadlineAdmission from "./deadline_admission.ts";
import * as requestLimiter from "./request_limiter.ts";
import * as slotShare from "./slot_share.ts";
import * as serviceQueue from "./service_queue.ts";

/** Configuration of an admission controller. */
export interface Options {
  random: runtime.Random;
  /** Maximum number of requests in flight in the host; 1000 when absent. */
  inFlight?: number;
}

const DEFAULT_MAX_IN_FLIGHT = 1000;

/** Priority of a request for which neither policy row sets one. */
const DEFAULT_PRIORITY = 5;

/** `retryAfter` of refusals for which no wait can be predicted. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** An admitted request that has not ended. */
interface Admitted {
  admittedAt: number;
  probe: boolean;
}

/** Admission control of one host; mutates its containers in place. */
export class AdmissionController
  implements policySet.Queues, policySet.Admission, policySet.Estimate {
  readonly #maxInFlight: number;
  readonly #stageTimes = stageTimeEstimator.StageTimeEstimator.create();
  readonly #backlog = backlog.Backlog.create();
  readonly #limiter = requestLimiter.RequestLimiter.create();
  readonly #deadlineAdmission: deadlineAdmission.DeadlineAdmission;
  readonly #queues: serviceQueue.ServiceQueue[] = [];
  readonly #admitted = new Map<string, Admitted>();
  readonly #shares = new Map<string, slotShare.SlotShare>();
  /** Service by endpoint. */
  #serviceByEndpoint = new Map<string, string>();
  #policies: request.Policies = new Map();
  /** Cost of calls, and the budget for retries and hedges. */
  readonly cost = costLedger.CostLedger.create();

  private constructor(options: Options) {
    const { random, inFlight = DEFAULT_MAX_IN_FLIGHT } = options;
    this.#maxInFlight = inFlight;
    const dependencies = {
      estimate: this.#stageTimes,
      backlog: this.#backlog,
      random,
    };
    this.#deadlineAdmission = deadlineAdmission.DeadlineAdmission.create(
      dependencies,
    );
  }

  static create(options: Options): AdmissionController {
    return new AdmissionController(options);
  }

  create(): policySet.Queue {
    const predictor = {
      work: (work: policySet.Work) => this.predict(work).mean,
      expires: (work: policySet.Work) => this.#latestStart(work),
    };
    const queue = serviceQueue.ServiceQueue.create(predictor);
    queue.setPolicies(this.#policies);
    this.#queues.push(queue);
    return queue;
  }

  admit(
    arrived: request.Request,
    now: number,
    fleet: policySet.Fleet,
  ): request.Problem | undefined {
    if (fleet.inFlight >= this.#maxInFlight) {
      const detail = `${this.#maxInFlight} requests are in this host already`;
      return refusal("overloaded", detail, DEFAULT_RETRY_AFTER_MS);
    }
    const unavailable = arrived.stages.find(({ service }) =>
      this.#backlog.slots(service) === 0
    );
    if (unavailable !== undefined) {
      const detail = `${unavailable.service} has no ready endpoint`;
      return refusal("no-endpoint", detail, DEFAULT_RETRY_AFTER_MS);
    }
    return this.#checkLimits(arrived, now) ?? this.#checkDeadline(arrived, now);
  }

  remainingTime(work: policySet.Work): number {
    if (this.#admitted.get(work.request.id)?.probe) return 0;
    const { stages } = work.request;
    let remaining = this.predict(work).low;
    for (let stage = work.stage + 1; stage < stages.length; stage++) {
      remaining +=
        this.#stageTimes.predict(this.#stageOf(work.request, stage)).low;
    }
    return remaining;
  }

  /** Predicted time of a stage in a slot. */
  predict(work: policySet.Work): stageTimeEstimator.Prediction {
    return this.#stageTimes.predict(inputOf(work));
  }

  /** Priority passed to the engine: the higher one of the account's and the
   * kind's row. */
  priority({ account, kind }: request.Request): number {
    const ofAccount = this.#policies.get(`account/${account}`)?.priority;
    const ofKind = this.#policies.get(`kind/${kind}`)?.priority;
    if (ofAccount === undefined) return ofKind ?? DEFAULT_PRIORITY;
    return Math.max(ofAccount, ofKind ?? ofAccount);
  }

  policies(policies: request.Policies): void {
    this.#policies = policies;
    this.#limiter.setPolicies(policies);
    this.#backlog.setPolicies(policies);
    this.cost.setPolicies(policies);
    for (const queue of this.#queues) queue.setPolicies(policies);
  }

  endpoints(endpoints: readonly request.Endpoint[]): void {
    const slots = new Map<string, Map<string, number>>();
    for (const service of this.#shares.keys()) slots.set(service, new Map());
    this.#serviceByEndpoint.clear();
    for (const { id, service, state, slots: endpointSlots } of endpoints) {
      if (state !== "ready") continue;
      const byEndpoint = slots.get(service) ?? new Map<string, number>();
      slots.set(service, byEndpoint.set(id, endpointSlots));
      this.#serviceByEndpoint.set(id, service);
    }
    for (const [service, byEndpoint] of slots) {
      const share = this.#shareOf(service);
      share.setEndpoints(byEndpoint);
      this.#backlog.setSlots(service, share.slots);
    }
  }

  load(endpoint: string, load: request.Load, now: number): void {
    const service = this.#serviceByEndpoint.get(endpoint);
    if (service === undefined) return;
    const share = this.#shareOf(service);
    share.report(endpoint, load);
    const slots = Math.min(share.slots, share.usableSlots(now));
    this.#backlog.setSlots(service, slots);
  }

  started(_attempt: request.Attempt, work: policySet.Work): void {
    this.#shareOf(serviceOf(work)).addCalls(1);
  }

  finished(
    ended: request.Request,
    ending: policySet.FinalState,
    now: number,
  ): void {
    const admitted = this.#admitted.get(ended.id);
    if (admitted === undefined) return;
    this.#admitted.delete(ended.id);
    this.#limiter.release(ended, now - admitted.admittedAt);
    this.#deadlineAdmission.finish(ended.id, now, ending === "completed");
  }

  ended(report: policySet.AttemptReport, now: number): void {
    const { attempt, work, result, elapsed, usage } = report;
    const { account, kind, stages, size } = work.request;
    const { name, service } = stages[attempt.stage];
    this.#shareOf(service).addCalls(-1);
    const spent = usage ?? assumedUsage(work, elapsed);
    const entry = { account, kind, service, stage: name, usage: spent };
    this.cost.record({ ...entry, category: categoryOf(report, now) });
    if (result !== "answered" || usage === undefined) return;
    const input = inputOf(work);
    const { outputTokens } = usage;
    this.#stageTimes.observe(input, { time: elapsed, outputTokens });
    this.#stageTimes.observeSize(input, size);
    this.#deadlineAdmission.completeStage(attempt.request, attempt.stage);
  }

  dump(): unknown {
    return {
      estimate: this.#stageTimes.toJSON(),
      backlog: this.#backlog.toJSON(),
      gate: {
        ...this.#deadlineAdmission.counts,
        promised: this.#deadlineAdmission.size,
      },
      inFlight: this.#limiter.toJSON(),
      cost: this.cost.toJSON(),
    };
  }

  #checkLimits(
    arrived: request.Request,
    now: number,
  ): request.Problem | undefined {
    const decision = this.#limiter.check(arrived, now);
    if (decision.type === "admit") return undefined;
    const detail = `The limit of ${decision.row} is reached`;
    return refusal("rate-limited", detail, decision.retryAfter);
  }

  #checkDeadline(
    arrived: request.Request,
    now: number,
  ): request.Problem | undefined {
    const { id, account, kind, deadline } = arrived;
    const stages = arrived.stages.map((_, i) => this.#stageOf(arrived, i));
    const candidate = { id, account, kind, deadline, stages };
    const decision = this.#deadlineAdmission.decide(candidate, now);
    if (decision.type === "refuse") {
      const detail = "The request would not be finished within its deadline";
      return refusal("overloaded", detail, decision.retryAfter);
    }
    this.#limiter.acquire(arrived);
    this.#admitted.set(id, { admittedAt: now, probe: decision.probe });
    return undefined;
  }

  /** Input of a stage. Its size is known for the first stage and predicted for
   * later ones. */
  #stageOf(
    from: request.Request,
    stage: number,
  ): stageTimeEstimator.StageInput {
    const { name, service, maxTokens } = from.stages[stage];
    const key = { service, stage: name };
    const isPredicted = stage > 0;
    const size = isPredicted
      ? this.#stageTimes.sizeOf(key, from.size)
      : from.size;
    return { ...key, size, maxTokens };
  }

  #shareOf(service: string): slotShare.SlotShare {
    let found = this.#shares.get(service);
    if (found === undefined) {
      found = slotShare.SlotShare.create();
      this.#shares.set(service, found);
    }
    return found;
  }

  #latestStart(work: policySet.Work): number {
    return work.request.deadline - this.remainingTime(work);
  }
}

function inputOf(work: policySet.Work): stageTimeEstimator.StageInput {
  const { name, service, maxTokens } = work.request.stages[work.stage];
  return { service, stage: name, size: work.size, maxTokens };
}

function serviceOf(work: policySet.Work): string {
  return work.request.stages[work.stage].service;
}

function categoryOf(
  { result, attempt, work }: policySet.AttemptReport,
  now: number,
): costLedger.Category {
  const late = now >= work.request.deadline;
  if (result === "answered") return late ? "late" : "useful";
  if (result === "failed") return "retry";
  return attempt.hedge ? "hedge" : "cancelled";
}

/** Assumed usage of a call whose endpoint reported none: the engine time is the
 * time for which the call held its slot. */
function assumedUsage(work: policySet.Work, elapsed: number): request.Usage {
  const { size: inputTokens, received: outputTokens } = work;
  return { inputTokens, outputTokens, cachedTokens: 0, engineTime: elapsed };
}

function refusal(
  name: request.ProblemName,
  detail: string,
  retryAfter?: number,
): request.Problem {
  const problem = { name, outcome: "not-run" as const, detail };
  return retryAfter === undefined ? problem : { ...problem, retryAfter };
}
