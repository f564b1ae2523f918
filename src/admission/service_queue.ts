/** Work that waits for one service, as the dispatcher's queue.
 * @module */

import type * as policySet from "../request/policy_set.ts";
import type * as request from "../request/mod.ts";
import * as fairQueue from "./fair_queue.ts";
import type * as lane from "./flow_queue.ts";

/** What a queue asks of the estimates. */
export interface Predictor {
  /** Milliseconds of a slot that the stage takes. */
  work(work: policySet.Work): number;
  /** Latest start at which the request can still finish. */
  expires(work: policySet.Work): number;
}

interface Place {
  stage: number;
  item: lane.Item;
}

/** A weighted fair queue over the dispatcher's work. */
export class ServiceQueue implements policySet.Queue {
  readonly #predict: Predictor;
  readonly #queue = fairQueue.FairQueue.create();
  readonly #works = new Map<string, policySet.Work>();
  /** Items that left the queue, so that a retry keeps its place. */
  readonly #places = new WeakMap<policySet.Work, Place>();

  private constructor(predict: Predictor) {
    this.#predict = predict;
  }

  static create(predict: Predictor): ServiceQueue {
    return new ServiceQueue(predict);
  }

  get size(): number {
    return this.#queue.size;
  }

  setPolicies(policies: request.Policies): void {
    this.#queue.setPolicies(policies);
  }

  push(work: policySet.Work): void {
    const item = this.#itemOf(work);
    this.#works.set(item.id, work);
    this.#queue.push(item);
  }

  shift(now: number): policySet.Work | undefined {
    const item = this.#queue.pop(now);
    if (item === undefined) return undefined;
    const work = this.#take(item);
    this.#places.set(work, { stage: work.stage, item });
    return work;
  }

  unshift(work: policySet.Work): void {
    const place = this.#places.get(work);
    if (place === undefined) return this.push(work);
    this.#works.set(place.item.id, work);
    this.#queue.putBack(place.item);
  }

  remove(id: string): boolean {
    this.#works.delete(id);
    return this.#queue.remove(id) !== undefined;
  }

  expired(now: number): readonly policySet.Work[] {
    return this.#queue.expire(now).map((item) => this.#take(item));
  }

  nextAt(): number | undefined {
    const expiry = this.#queue.nextExpiry;
    // An item expires after its latest start, not at it.
    return expiry === undefined ? undefined : expiry + 1;
  }

  #take(item: lane.Item): policySet.Work {
    const work = this.#works.get(item.id) as policySet.Work;
    this.#works.delete(item.id);
    return work;
  }

  #itemOf(work: policySet.Work): lane.Item {
    const { id, account, kind, arrived, deadline } = work.request;
    const place = this.#places.get(work);
    const retried = place?.stage === work.stage;
    return {
      id,
      account,
      kind,
      arrived,
      deadline,
      expires: this.#predict.expires(work),
      work: this.#predict.work(work),
      startTag: retried ? place.item.startTag : undefined,
    };
  }
}
