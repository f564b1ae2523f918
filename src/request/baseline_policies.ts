/** The plain decisions: first come first served, least own calls in flight,
 * two retries at once, no estimate and no hedge. They are the twin that better
 * ones are measured against.
 * @module */

import type * as effect from "./effect.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** Knobs of the plain decisions. */
export interface Options {
  /** Requests in the host at once; 1000 when absent. */
  inFlight?: number;
  /** Attempts of one stage; 3 when absent. */
  attempts?: number;
}

const IN_FLIGHT = 1000;
const ATTEMPTS = 3;
/** Milliseconds after which a refused caller should ask again. */
const RETRY_AFTER = 1000;
const PRIORITY = 5;

/** A policy set of plain decisions. */
export function create(options: Options = {}): policySet.PolicySet {
  const { inFlight = IN_FLIGHT, attempts = ATTEMPTS } = options;
  return {
    queues: { create: () => FirstComeQueue.create() },
    admission: {
      admit: (arrived, _now, fleet) => admit(arrived, fleet, inFlight),
    },
    choice: { choose: (work, pool) => chooseLeast(work, pool) },
    estimate: { remainingTime: () => 0 },
    retries: createRetries(attempts),
    hedge: { delay: () => undefined, allow: () => false },
    priority: () => PRIORITY,
  };
}

/** First come, first served. */
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

/** The free member with the least calls from this host, failed ones last. */
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
  most: number,
): effect.Problem | undefined {
  if (fleet.inFlight >= most) {
    return refusal("overloaded", `${most} requests are in this host already`);
  }
  const missing = arrived.stages.find((stage) =>
    !fleet.pool(stage.service)?.members.length
  );
  if (missing === undefined) return undefined;
  return refusal("no-endpoint", `${missing.service} has no ready endpoint`);
}

function refusal(name: effect.ProblemName, detail: string): effect.Problem {
  return { name, outcome: "not-run", detail, retryAfter: RETRY_AFTER };
}

function createRetries(attempts: number): policySet.Retries {
  const counts = new WeakMap<policySet.Work, { stage: number; left: number }>();
  function delay(work: policySet.Work): number | undefined {
    const known = counts.get(work);
    const count = known?.stage === work.stage
      ? known
      : { stage: work.stage, left: attempts - 1 };
    counts.set(work, count);
    return count.left-- > 0 ? 0 : undefined;
  }
  return { delay };
}
