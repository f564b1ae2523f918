/** Admission, queues and estimates as the parts of a dispatcher's policy set.
 *
 * One object plays these parts, since they share what was learnt and what was
 * promised: admission by limits and the gate, a weighted fair queue for each
 * service, and how long the rest of a request takes.
 * @module */

import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as backlog from "./backlog.ts";
import * as cost from "./cost_ledger.ts";
import * as estimate from "./stage_time_estimator.ts";
import * as gate from "./deadline_admission.ts";
import * as limit from "./request_limiter.ts";
import * as share from "./slot_share.ts";
import * as serviceQueue from "./service_queue.ts";

/** What controls are made from. */
export interface Options {
  random: runtime.Random;
  /** Requests in the host at once; 1000 when absent. */
  inFlight?: number;
}

const IN_FLIGHT = 1000;

/** Priority of a request whose rows name none. */
const PRIORITY = 5;

/** Milliseconds after which a caller may try again where nothing tells it. */
const RETRY_AFTER = 1000;

interface Admitted {
  at: number;
  probe: boolean;
}

/** Decisions of admission; changes its containers in place. */
export class AdmissionController
  implements policySet.Queues, policySet.Admission, policySet.Estimate {
  readonly #inFlight: number;
  readonly #estimate = estimate.StageTimeEstimator.create();
  readonly #backlog = backlog.Backlog.create();
  readonly #limit = limit.RequestLimiter.create();
  readonly #gate: gate.DeadlineAdmission;
  readonly #queues: serviceQueue.ServiceQueue[] = [];
  readonly #admitted = new Map<string, Admitted>();
  readonly #shares = new Map<string, share.SlotShare>();
  /** Service by endpoint. */
  #homes = new Map<string, string>();
  #policies: request.Policies = new Map();
  /** What calls cost; retries and hedges ask it for budget. */
  readonly cost = cost.CostLedger.create();

  private constructor(options: Options) {
    const { random, inFlight = IN_FLIGHT } = options;
    this.#inFlight = inFlight;
    const basis = { estimate: this.#estimate, backlog: this.#backlog, random };
    this.#gate = gate.DeadlineAdmission.create(basis);
  }

  static create(options: Options): AdmissionController {
    return new AdmissionController(options);
  }

  create(): policySet.Queue {
    const predict = {
      work: (work: policySet.Work) => this.predict(work).mean,
      expires: (work: policySet.Work) => this.#latestStart(work),
    };
    const created = serviceQueue.ServiceQueue.create(predict);
    created.setPolicies(this.#policies);
    this.#queues.push(created);
    return created;
  }

  admit(
    arrived: request.Request,
    now: number,
    fleet: policySet.Fleet,
  ): request.Problem | undefined {
    if (fleet.inFlight >= this.#inFlight) {
      const detail = `${this.#inFlight} requests are in this host already`;
      return refusal("overloaded", detail, RETRY_AFTER);
    }
    const missing = arrived.stages.find(({ service }) =>
      this.#backlog.slots(service) === 0
    );
    if (missing !== undefined) {
      const detail = `${missing.service} has no ready endpoint`;
      return refusal("no-endpoint", detail, RETRY_AFTER);
    }
    return this.#limited(arrived, now) ?? this.#overloaded(arrived, now);
  }

  rest(work: policySet.Work): number {
    if (this.#admitted.get(work.request.id)?.probe) return 0;
    const { stages } = work.request;
    let rest = this.predict(work).low;
    for (let stage = work.stage + 1; stage < stages.length; stage++) {
      rest += this.#estimate.predict(this.#stageOf(work.request, stage)).low;
    }
    return rest;
  }

  /** Time that a stage is expected to take in a slot. */
  predict(work: policySet.Work): estimate.Prediction {
    return this.#estimate.predict(workOf(work));
  }

  /** Priority that an engine is told: the higher of the two rows. */
  priority({ account, kind }: request.Request): number {
    const first = this.#policies.get(`account/${account}`)?.priority;
    const second = this.#policies.get(`kind/${kind}`)?.priority;
    if (first === undefined) return second ?? PRIORITY;
    return Math.max(first, second ?? first);
  }

  policies(policies: request.Policies): void {
    this.#policies = policies;
    this.#limit.setPolicies(policies);
    this.#backlog.setPolicies(policies);
    this.cost.setPolicies(policies);
    for (const queue of this.#queues) queue.setPolicies(policies);
  }

  endpoints(endpoints: readonly request.Endpoint[]): void {
    const slots = new Map<string, Map<string, number>>();
    for (const service of this.#shares.keys()) slots.set(service, new Map());
    this.#homes.clear();
    for (const { id, service, state, slots: own } of endpoints) {
      if (state !== "ready") continue;
      const members = slots.get(service) ?? new Map<string, number>();
      slots.set(service, members.set(id, own));
      this.#homes.set(id, service);
    }
    for (const [service, members] of slots) {
      const taken = this.#shareOf(service);
      taken.setEndpoints(members);
      this.#backlog.setSlots(service, taken.slots);
    }
  }

  load(endpoint: string, load: request.Load, now: number): void {
    const service = this.#homes.get(endpoint);
    if (service === undefined) return;
    const taken = this.#shareOf(service);
    taken.report(endpoint, load);
    const slots = Math.min(taken.slots, taken.usableSlots(now));
    this.#backlog.setSlots(service, slots);
  }

  started(_attempt: request.Attempt, work: policySet.Work): void {
    this.#shareOf(serviceOf(work)).addCalls(1);
  }

  finished(ended: request.Request, how: policySet.Ending, now: number): void {
    const admitted = this.#admitted.get(ended.id);
    if (admitted === undefined) return;
    this.#admitted.delete(ended.id);
    this.#limit.release(ended, now - admitted.at);
    this.#gate.finish(ended.id, now, how === "completed");
  }

  ended(report: policySet.Report, now: number): void {
    const { attempt, work, result, elapsed, usage } = report;
    const { account, kind, stages, size } = work.request;
    const { name, service } = stages[attempt.stage];
    this.#shareOf(service).addCalls(-1);
    const spent = usage ?? unreported(work, elapsed);
    const entry = { account, kind, service, stage: name, usage: spent };
    this.cost.record({ ...entry, category: fateOf(report, now) });
    if (result !== "answered" || usage === undefined) return;
    const done = workOf(work);
    const { outputTokens } = usage;
    this.#estimate.observe(done, { time: elapsed, outputTokens });
    this.#estimate.observeSize(done, size);
    this.#gate.completeStage(attempt.request, attempt.stage);
  }

  dump(): unknown {
    return {
      estimate: this.#estimate.toJSON(),
      backlog: this.#backlog.toJSON(),
      gate: { ...this.#gate.counts, promised: this.#gate.size },
      inFlight: this.#limit.toJSON(),
      cost: this.cost.toJSON(),
    };
  }

  #limited(arrived: request.Request, now: number): request.Problem | undefined {
    const verdict = this.#limit.check(arrived, now);
    if (verdict.type === "admit") return undefined;
    const detail = `The limit of ${verdict.row} is reached`;
    return refusal("rate-limited", detail, verdict.retryAfter);
  }

  #overloaded(
    arrived: request.Request,
    now: number,
  ): request.Problem | undefined {
    const { id, account, kind, deadline } = arrived;
    const stages = arrived.stages.map((_, i) => this.#stageOf(arrived, i));
    const ask = { id, account, kind, deadline, stages };
    const decision = this.#gate.decide(ask, now);
    if (decision.type === "refuse") {
      const detail = "The request would not be finished within its deadline";
      return refusal("overloaded", detail, decision.retryAfter);
    }
    this.#limit.acquire(arrived);
    this.#admitted.set(id, { at: now, probe: decision.probe });
    return undefined;
  }

  /** A stage whose input is not known yet, but for the first. */
  #stageOf(of: request.Request, stage: number): estimate.StageInput {
    const { name, service, maxTokens } = of.stages[stage];
    const place = { service, stage: name };
    const learnt = stage > 0;
    const size = learnt ? this.#estimate.sizeOf(place, of.size) : of.size;
    return { ...place, size, maxTokens };
  }

  #shareOf(service: string): share.SlotShare {
    let found = this.#shares.get(service);
    if (found === undefined) {
      found = share.SlotShare.create();
      this.#shares.set(service, found);
    }
    return found;
  }

  #latestStart(work: policySet.Work): number {
    return work.request.deadline - this.rest(work);
  }
}

function workOf(work: policySet.Work): estimate.StageInput {
  const { name, service, maxTokens } = work.request.stages[work.stage];
  return { service, stage: name, size: work.size, maxTokens };
}

function serviceOf(work: policySet.Work): string {
  return work.request.stages[work.stage].service;
}

function fateOf(
  { result, attempt, work }: policySet.Report,
  now: number,
): cost.Category {
  const late = now >= work.request.deadline;
  if (result === "answered") return late ? "late" : "useful";
  if (result === "failed") return "retry";
  return attempt.hedge ? "hedge" : "cancelled";
}

/** Cost of a call whose endpoint reported none: its slot until it ended. */
function unreported(work: policySet.Work, elapsed: number): request.Usage {
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
