/** Hierarchical weighted fair queue: slots are shared between accounts, within
 * an account between kinds, and within a kind by earliest deadline first.
 *
 * Work is charged when an item is dequeued, so that the order within a flow can
 * change until then. A retried item keeps its start tag and is served before
 * all items with a later one; its account and kind are charged again.
 *
 * An item with enough slack is deferred in favour of items with far less. Its
 * account keeps its start tag meanwhile, so that it loses none of its share.
 * @module */

import type * as request from "../request/mod.ts";
import * as heap from "./heap.ts";
import * as flowQueue from "./flow_queue.ts";
import * as fairScheduler from "./fair_scheduler.ts";
import * as weight from "./weight.ts";

/** Maximum number of flows, and of accounts, that are scanned for an item with
 * less slack; with more, no item is deferred. */
const MAX_SCANNED = 64;

/** State of a flow, for dumps. */
export interface FlowState extends weight.Flow {
  weight: number;
  size: number;
  work: number;
}

/** Queued items of all flows that share one pool of slots. */
export class FairQueue {
  #policies: request.Policies;
  #work = 0;
  /** Item that `pop` returned last, and the start tag it had before. */
  #lastPopped?: { item: flowQueue.Item; start: number | undefined };
  readonly #entries = new Map<string, flowQueue.Entry>();
  readonly #accounts = new Map<string, flowQueue.AccountQueue>();
  readonly #scheduler = fairScheduler.FairScheduler.create<
    flowQueue.AccountQueue
  >();
  readonly #byFlowWeight = heap.Heap.create<flowQueue.FlowQueue>(
    flowQueue.flowWeightOrder,
  );
  readonly #retried = heap.Heap.create<flowQueue.Entry>(flowQueue.retriedOrder);
  readonly #expiry = heap.Heap.create<flowQueue.Entry>(flowQueue.expiryOrder);

  private constructor(policies: request.Policies) {
    this.#policies = policies;
  }

  static create(policies: request.Policies = new Map()): FairQueue {
    return new FairQueue(policies);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Predicted slot milliseconds of all queued items. */
  get work(): number {
    return this.#work;
  }

  /** Earliest `expires` of all queued items. */
  get nextExpiry(): number | undefined {
    return this.#expiry.peek()?.item.expires;
  }

  /** Applies new weights, to items already queued as well. */
  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
    for (const account of this.#accounts.values()) {
      account.weight = weight.ofAccount(policies, account.name);
      for (const flow of account.flowQueues.values()) {
        this.#updateWeights(flow);
        this.#byFlowWeight.update(flow);
      }
    }
  }

  /** Queues an item; returns false when one with its id is queued already. */
  push(item: flowQueue.Item): boolean {
    if (this.#entries.has(item.id)) return false;
    const flow = this.#flowQueueOf(item);
    const entry = flowQueue.createEntry(item, flow);
    this.#entries.set(item.id, entry);
    this.#expiry.push(entry);
    flow.byLatestDeadline.push(entry);
    if (entry.retried) this.#retried.push(entry);
    else flow.fresh.push(entry);
    this.#addToTotals(flow, 1, item.work);
    this.#updateActivity(flow);
    return true;
  }

  /** Removes and returns the item to be served next. Without a time, no item is
   * deferred in favour of one with less slack. */
  pop(now = Infinity): flowQueue.Item | undefined {
    const entry = this.#next(now);
    if (entry === undefined) return undefined;
    const { item, flowQueue: flow, retried } = entry;
    const { accountQueue: account } = flow;
    // Virtual time does not pass the start tag of a deferred item's account, so
    // that the account keeps its turn.
    const start = item.startTag ?? nextStartTag(this.#scheduler);
    const flowStart = retried ? flow.startTag : nextStartTag(account.scheduler);
    this.#lastPopped = { item, start: item.startTag };
    item.startTag = start;
    this.#scheduler.serve(account, item.work / account.weight, start);
    const charge = weight.chargeOf(item.work) / flow.weight;
    account.scheduler.serve(flow, charge, flowStart);
    this.#removeEntry(entry);
    return item;
  }

  /** Returns an item to the queue that `pop` removed but that could not be
   * started: it keeps its position, and its flow's charge is refunded. */
  putBack(item: flowQueue.Item): void {
    const account = this.#accounts.get(item.account);
    const flow = account?.flowQueues.get(item.kind);
    if (account !== undefined) {
      this.#scheduler.refund(account, item.work / account.weight);
    }
    if (flow !== undefined) {
      const charge = weight.chargeOf(item.work) / flow.weight;
      flow.accountQueue.scheduler.refund(flow, charge);
    }
    if (this.#lastPopped?.item === item) item.startTag = this.#lastPopped.start;
    this.push(item);
  }

  /** Removes and returns all items whose latest start is before `now`. */
  expire(now: number): flowQueue.Item[] {
    const expired: flowQueue.Item[] = [];
    let entry = this.#expiry.peek();
    while (entry !== undefined && entry.item.expires < now) {
      this.#removeEntry(entry);
      expired.push(entry.item);
      entry = this.#expiry.peek();
    }
    return expired;
  }

  /** Removes and returns the item with the latest deadline of the flow with the
   * lowest weight. */
  shed(): flowQueue.Item | undefined {
    const entry = this.#byFlowWeight.peek()?.byLatestDeadline.peek();
    if (entry !== undefined) this.#removeEntry(entry);
    return entry?.item;
  }

  /** Removes and returns the item with this id. */
  remove(id: string): flowQueue.Item | undefined {
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#removeEntry(entry);
    return entry?.item;
  }

  toJSON(): FlowState[] {
    const all = [...this.#accounts.values()].flatMap(
      ({ flowQueues }) => {
        return [...flowQueues.values()];
      },
    );
    return all.map(({ account, kind, flowWeight, size, work }) => {
      return { account, kind, weight: flowWeight, size, work };
    });
  }

  /** Entry to be served next. */
  #next(now: number): flowQueue.Entry | undefined {
    const next = this.#nextByStartTag();
    if (next === undefined || !flowQueue.canDefer(next.item, now)) return next;
    return this.#findShorter(next.item) ?? next;
  }

  /** Entry with the earliest start tag, before any deferral. */
  #nextByStartTag(): flowQueue.Entry | undefined {
    const retried = this.#retried.peek();
    const account = this.#scheduler.peek();
    const fresh = account?.scheduler.peek()?.fresh.peek();
    if (retried === undefined || account === undefined) return retried ?? fresh;
    return flowQueue.startTagOf(retried) <= account.startTag ? retried : fresh;
  }

  /** First entry, in service order, in favour of which an item is deferred. */
  #findShorter(item: flowQueue.Item): flowQueue.Entry | undefined {
    if (this.#accounts.size > MAX_SCANNED) return undefined;
    if (this.#byFlowWeight.size > MAX_SCANNED) return undefined;
    let best: flowQueue.FlowQueue | undefined;
    for (const { flowQueues: flows } of this.#accounts.values()) {
      for (const flow of flows.values()) {
        const top = flow.fresh.peek();
        if (top === undefined || !flowQueue.defersTo(item, top.item)) continue;
        if (best === undefined || isBefore(flow, best)) best = flow;
      }
    }
    return best?.fresh.peek();
  }

  #removeEntry(entry: flowQueue.Entry): void {
    const { item, flowQueue: flow } = entry;
    this.#entries.delete(item.id);
    this.#expiry.remove(entry);
    flow.byLatestDeadline.remove(entry);
    if (entry.retried) this.#retried.remove(entry);
    else flow.fresh.remove(entry);
    this.#addToTotals(flow, -1, item.work);
    this.#updateActivity(flow);
    this.#removeIdle(flow.accountQueue);
  }

  #addToTotals(flow: flowQueue.FlowQueue, change: 1 | -1, work: number): void {
    flow.size += change;
    flow.accountQueue.size += change;
    flow.work = flow.size === 0 ? 0 : flow.work + change * work;
    this.#work = this.size === 0 ? 0 : this.#work + change * work;
  }

  /** Updates whether a flow and its account are active in their schedulers, and
   * whether the flow has items to shed. */
  #updateActivity(flow: flowQueue.FlowQueue): void {
    const { accountQueue: owner } = flow;
    if (flow.fresh.size > 0) owner.scheduler.activate(flow);
    else owner.scheduler.deactivate(flow);
    if (owner.scheduler.peek() !== undefined) this.#scheduler.activate(owner);
    else this.#scheduler.deactivate(owner);
    if (flow.size === 0) this.#byFlowWeight.remove(flow);
    else if (flow.flowWeightPos < 0) this.#byFlowWeight.push(flow);
  }

  #removeIdle(account: flowQueue.AccountQueue): void {
    const onRemove = (flow: flowQueue.FlowQueue) =>
      account.flowQueues.delete(flow.kind);
    removeIdleEntities(account.scheduler, {
      onRemove,
      all: account.size === 0,
    });
    removeIdleEntities(this.#scheduler, {
      onRemove: (account) => this.#accounts.delete(account.name),
      all: this.size === 0,
    });
  }

  #updateWeights(flow: flowQueue.FlowQueue): void {
    flow.weight = weight.ofKind(this.#policies, flow.kind);
    flow.flowWeight = weight.ofFlow(this.#policies, flow);
  }

  #flowQueueOf({ account, kind }: weight.Flow): flowQueue.FlowQueue {
    let accountQueue = this.#accounts.get(account);
    if (accountQueue === undefined) {
      accountQueue = flowQueue.createAccountQueue(account);
      accountQueue.weight = weight.ofAccount(this.#policies, account);
      this.#accounts.set(account, accountQueue);
    }
    let flow = accountQueue.flowQueues.get(kind);
    if (flow === undefined) {
      flow = flowQueue.createFlowQueue(accountQueue, kind);
      this.#updateWeights(flow);
      accountQueue.flowQueues.set(kind, flow);
    }
    return flow;
  }
}

/** Start tag of the entity to be served next. */
function nextStartTag(
  scheduler: fairScheduler.FairScheduler<fairScheduler.Entity>,
): number {
  return scheduler.peek()?.startTag ?? 0;
}

/** Whether flow `a` is served before `b`: by account first, then by kind. */
function isBefore(a: flowQueue.FlowQueue, b: flowQueue.FlowQueue): boolean {
  const accounts = fairScheduler.compare(a.accountQueue, b.accountQueue);
  return (accounts !== 0 ? accounts : fairScheduler.compare(a, b)) < 0;
}

/** Removes idle entities. Those with only retried items queued are kept, since
 * their entries refer to them. */
function removeIdleEntities<
  T extends flowQueue.AccountQueue | flowQueue.FlowQueue,
>(
  scheduler: fairScheduler.FairScheduler<T>,
  options: { onRemove(entity: T): void; all: boolean },
): void {
  const kept: T[] = [];
  let entity = scheduler.removeIdle(options.all);
  while (entity !== undefined) {
    if (entity.size > 0) kept.push(entity);
    else options.onRemove(entity);
    entity = scheduler.removeIdle(options.all);
  }
  for (const idle of kept) scheduler.deactivate(idle);
}
