/** Adapts the fair queue to the dispatcher's queue interface, one queue for
 * each service.
 * @module */

import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import * as fairQueue from "./fair_queue.ts";
import type * as flowQueue from "./flow_queue.ts";

/** Predictions that a queue needs for a stage. */
export interface Predictor {
  /** Slot time of the stage, milliseconds. */
  work(work: policySet.Work): number;
  /** Latest start at which the request can still meet its deadline. */
  expires(work: policySet.Work): number;
}

/** A dequeued item and its stage. */
interface Dequeued {
  stage: number;
  item: flowQueue.Item;
}

/** A weighted fair queue of the dispatcher's work for one service. */
export class ServiceQueue implements policySet.Queue {
  readonly #predictor: Predictor;
  readonly #queue = fairQueue.FairQueue.create();
  readonly #workById = new Map<string, policySet.Work>();
  /** Dequeued items, so that a retry keeps its start tag. */
  readonly #dequeued = new WeakMap<policySet.Work, Dequeued>();

  private constructor(predictor: Predictor) {
    this.#predictor = predictor;
  }

  static create(predictor: Predictor): ServiceQueue {
    return new ServiceQueue(predictor);
  }

  get size(): number {
    return this.#queue.size;
  }

  setPolicies(policies: request.Policies): void {
    this.#queue.setPolicies(policies);
  }

  push(work: policySet.Work): void {
    const item = this.#itemOf(work);
    this.#workById.set(item.id, work);
    this.#queue.push(item);
  }

  shift(now: number): policySet.Work | undefined {
    const item = this.#queue.pop(now);
    if (item === undefined) return undefined;
    const work = this.#take(item);
    this.#dequeued.set(work, { stage: work.stage, item });
    return work;
  }

  unshift(work: policySet.Work): void {
    const dequeued = this.#dequeued.get(work);
    if (dequeued === undefined) return this.push(work);
    this.#workById.set(dequeued.item.id, work);
    this.#queue.putBack(dequeued.item);
  }

  remove(id: string): boolean {
    this.#workById.delete(id);
    return this.#queue.remove(id) !== undefined;
  }

  expired(now: number): readonly policySet.Work[] {
    return this.#queue.expire(now).map((item) => this.#take(item));
  }

  nextAt(): number | undefined {
    const expiry = this.#queue.nextExpiry;
    // At its latest start an item can still be started; it expires after it.
    return expiry === undefined ? undefined : expiry + 1;
  }

  #take(item: flowQueue.Item): policySet.Work {
    const work = this.#workById.get(item.id) as policySet.Work;
    this.#workById.delete(item.id);
    return work;
  }

  #itemOf(work: policySet.Work): flowQueue.Item {
    const { id, account, kind, arrived, deadline } = work.request;
    const dequeued = this.#dequeued.get(work);
    const retried = dequeued?.stage === work.stage;
    return {
      id,
      account,
      kind,
      arrived,
      deadline,
      expires: this.#predictor.expires(work),
      work: this.#predictor.work(work),
      startTag: retried ? dequeued.item.startTag : undefined,
    };
  }
}
