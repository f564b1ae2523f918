/** Baseline policies: first come, first served queues, the endpoint with the
 * fewest of this host's calls in flight, two immediate retries, no estimate and
 * no hedging. Other policies are compared with them.
 * @module */

import type * as effect from "./effect.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** Options of the baseline policies. */
export interface Options {
  /** Limit of requests in flight in the host; 1000 when absent. */
  inFlight?: number;
  /** Limit of attempts of one stage; 3 when absent. */
  attempts?: number;
}

const DEFAULT_MAX_IN_FLIGHT = 1000;
const DEFAULT_ATTEMPTS = 3;
/** Time after which a refused caller should retry. */
const RETRY_AFTER_MS = 1000;
const DEFAULT_PRIORITY = 5;

/** Creates the baseline policies. */
export function create(options: Options = {}): policySet.PolicySet {
  const { inFlight = DEFAULT_MAX_IN_FLIGHT, attempts = DEFAULT_ATTEMPTS } =
    options;
  return {
    queues: { create: () => FirstComeQueue.create() },
    admission: {
      admit: (arrived, _now, fleet) => admit(arrived, fleet, inFlight),
    },
    choice: { choose: (work, pool) => chooseLeast(work, pool) },
    estimate: { remainingTime: () => 0 },
    retries: createRetries(attempts),
    hedge: { delay: () => undefined, allow: () => false },
    priority: () => DEFAULT_PRIORITY,
  };
}

/** First come, first served queue. */
export class FirstComeQueue implements policySet.Queue {
  readonly #works = new Map<string, policySet.Work>();
  #front: policySet.Work[] = [];

  static create(): FirstComeQueue {
    return new FirstComeQueue();
  }

  get size(): number {
    return this.#works.size + this.#front.length;
  }

  push(work: policySet.Work): void {
    this.#works.set(work.request.id, work);
  }

  shift(): policySet.Work | undefined {
    const front = this.#front.pop();
    if (front !== undefined) return front;
    for (const [id, work] of this.#works) {
      this.#works.delete(id);
      return work;
    }
    return undefined;
  }

  unshift(work: policySet.Work): void {
    this.#front.push(work);
  }

  remove(id: string): boolean {
    const kept = this.#front.filter((work) => work.request.id !== id);
    const found = kept.length < this.#front.length;
    this.#front = kept;
    return this.#works.delete(id) || found;
  }
}

/** Chooses the member with a free slot and the fewest of this host's calls in
 * flight; endpoints that failed the stage come last. */
export function chooseLeast(
  work: policySet.Work,
  pool: policySet.Pool,
): policySet.Member | undefined {
  let best: policySet.Member | undefined;
  let bestAvoided = true;
  for (const member of pool.members) {
    if (member.inFlight >= member.endpoint.slots) continue;
    const avoided = work.avoid.includes(member.endpoint.id);
    const better = best === undefined || (bestAvoided && !avoided) ||
      (bestAvoided === avoided && member.inFlight < best.inFlight);
    if (!better) continue;
    best = member;
    bestAvoided = avoided;
  }
  return best;
}

function admit(
  arrived: request.Request,
  fleet: policySet.Fleet,
  limit: number,
): effect.Problem | undefined {
  if (fleet.inFlight >= limit) {
    return refusal("overloaded", `${limit} requests are in this host already`);
  }
  const missing = arrived.stages.find((stage) =>
    !fleet.pool(stage.service)?.members.length
  );
  if (missing === undefined) return undefined;
  return refusal("no-endpoint", `${missing.service} has no ready endpoint`);
}

function refusal(name: effect.ProblemName, detail: string): effect.Problem {
  return { name, outcome: "not-run", detail, retryAfter: RETRY_AFTER_MS };
}

function createRetries(attempts: number): policySet.Retries {
  const counts = new WeakMap<policySet.Work, { stage: number; left: number }>();
  function delay(work: policySet.Work): number | undefined {
    const existing = counts.get(work);
    const count = existing?.stage === work.stage
      ? existing
      : { stage: work.stage, left: attempts - 1 };
    counts.set(work, count);
    return count.left-- > 0 ? 0 : undefined;
  }
  return { delay };
}
