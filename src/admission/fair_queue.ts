/** Weighted fair queue: slots are shared between accounts, inside an account
 * between kinds, and inside a kind the earliest deadline goes first.
 *
 * Work is charged when an item leaves, so that the order within a flow can
 * change until then. A retried item keeps its virtual start and is served
 * before everything that started later; its account and kind pay again.
 *
 * An item with time left lets those go first that have far less. Its account
 * keeps its place meanwhile, so that it loses nothing but time to spare.
 * @module */

import type * as request from "../request/mod.ts";
import * as heap from "./heap.ts";
import * as lanes from "./flow_queue.ts";
import * as schedule from "./fair_scheduler.ts";
import * as weight from "./weight.ts";

/** Flows, and accounts, among which patient items look for shorter ones. */
const MOST_SCANNED = 64;

/** A flow as a dump shows it. */
export interface FlowState extends weight.Flow {
  weight: number;
  size: number;
  work: number;
}

/** Items of all flows that wait for one pool of slots. */
export class FairQueue {
  #policies: request.Policies;
  #work = 0;
  /** What `pop` gave last, and the start it had before. */
  #last?: { item: lanes.Item; start: number | undefined };
  readonly #entries = new Map<string, lanes.Entry>();
  readonly #accounts = new Map<string, lanes.AccountQueue>();
  readonly #turns = schedule.FairScheduler.create<lanes.AccountQueue>();
  readonly #waiting = heap.Heap.create<lanes.FlowQueue>(lanes.flowWeightOrder);
  readonly #retried = heap.Heap.create<lanes.Entry>(lanes.retriedOrder);
  readonly #expiry = heap.Heap.create<lanes.Entry>(lanes.expiryOrder);

  private constructor(policies: request.Policies) {
    this.#policies = policies;
  }

  static create(policies: request.Policies = new Map()): FairQueue {
    return new FairQueue(policies);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Predicted milliseconds of all that waits. */
  get work(): number {
    return this.#work;
  }

  /** Earliest `expires` of all that waits. */
  get nextExpiry(): number | undefined {
    return this.#expiry.peek()?.item.expires;
  }

  /** Takes new weights; what waits is weighed by them at once. */
  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
    for (const account of this.#accounts.values()) {
      account.weight = weight.ofAccount(policies, account.name);
      for (const lane of account.flowQueues.values()) {
        this.#weigh(lane);
        this.#waiting.update(lane);
      }
    }
  }

  /** Queues an item; returns false when one with its id waits already. */
  push(item: lanes.Item): boolean {
    if (this.#entries.has(item.id)) return false;
    const lane = this.#laneOf(item);
    const entry = lanes.createEntry(item, lane);
    this.#entries.set(item.id, entry);
    this.#expiry.push(entry);
    lane.byLatestDeadline.push(entry);
    if (entry.retried) this.#retried.push(entry);
    else lane.fresh.push(entry);
    this.#count(lane, 1, item.work);
    this.#settle(lane);
    return true;
  }

  /** Removes the item to be served next; without a time, nothing waits for
   * shorter items. */
  pop(now = Infinity): lanes.Item | undefined {
    const entry = this.#first(now);
    if (entry === undefined) return undefined;
    const { item, flowQueue: lane, retried } = entry;
    const { accountQueue: owner } = lane;
    // Whoever was passed over keeps its place: virtual time waits for it.
    const start = item.startTag ?? startOf(this.#turns);
    const inner = retried ? lane.startTag : startOf(owner.scheduler);
    this.#last = { item, start: item.startTag };
    item.startTag = start;
    this.#turns.serve(owner, item.work / owner.weight, start);
    const charge = weight.chargeOf(item.work) / lane.weight;
    owner.scheduler.serve(lane, charge, inner);
    this.#drop(entry);
    return item;
  }

  /** Takes back what `pop` gave but could not be started: it keeps its place,
   * and its flow does not pay. */
  putBack(item: lanes.Item): void {
    const owner = this.#accounts.get(item.account);
    const lane = owner?.flowQueues.get(item.kind);
    if (owner !== undefined) {
      this.#turns.refund(owner, item.work / owner.weight);
    }
    if (lane !== undefined) {
      const charge = weight.chargeOf(item.work) / lane.weight;
      lane.accountQueue.scheduler.refund(lane, charge);
    }
    if (this.#last?.item === item) item.startTag = this.#last.start;
    this.push(item);
  }

  /** Removes all items whose latest start is before `now`. */
  expire(now: number): lanes.Item[] {
    const gone: lanes.Item[] = [];
    let entry = this.#expiry.peek();
    while (entry !== undefined && entry.item.expires < now) {
      this.#drop(entry);
      gone.push(entry.item);
      entry = this.#expiry.peek();
    }
    return gone;
  }

  /** Removes the latest deadline of the least weighted flow. */
  shed(): lanes.Item | undefined {
    const entry = this.#waiting.peek()?.byLatestDeadline.peek();
    if (entry !== undefined) this.#drop(entry);
    return entry?.item;
  }

  /** Removes the item with this id. */
  remove(id: string): lanes.Item | undefined {
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#drop(entry);
    return entry?.item;
  }

  toJSON(): FlowState[] {
    const all = [...this.#accounts.values()].flatMap(
      ({ flowQueues: lanes }) => {
        return [...lanes.values()];
      },
    );
    return all.map(({ account, kind, flowWeight: worth, size, work }) => {
      return { account, kind, weight: worth, size, work };
    });
  }

  /** The entry to be served next. */
  #first(now: number): lanes.Entry | undefined {
    const first = this.#entitled();
    if (first === undefined || !lanes.canDefer(first.item, now)) return first;
    return this.#shorter(first.item) ?? first;
  }

  /** The entry whose turn it is. */
  #entitled(): lanes.Entry | undefined {
    const retried = this.#retried.peek();
    const account = this.#turns.peek();
    const fresh = account?.scheduler.peek()?.fresh.peek();
    if (retried === undefined || account === undefined) return retried ?? fresh;
    return lanes.startTagOf(retried) <= account.startTag ? retried : fresh;
  }

  /** The entry that an item lets go first, in the order of turns. */
  #shorter(patient: lanes.Item): lanes.Entry | undefined {
    if (this.#accounts.size > MOST_SCANNED) return undefined;
    if (this.#waiting.size > MOST_SCANNED) return undefined;
    let best: lanes.FlowQueue | undefined;
    for (const { flowQueues: flows } of this.#accounts.values()) {
      for (const lane of flows.values()) {
        const head = lane.fresh.peek();
        if (head === undefined || !lanes.defersTo(patient, head.item)) continue;
        if (best === undefined || isBefore(lane, best)) best = lane;
      }
    }
    return best?.fresh.peek();
  }

  #drop(entry: lanes.Entry): void {
    const { item, flowQueue: lane } = entry;
    this.#entries.delete(item.id);
    this.#expiry.remove(entry);
    lane.byLatestDeadline.remove(entry);
    if (entry.retried) this.#retried.remove(entry);
    else lane.fresh.remove(entry);
    this.#count(lane, -1, item.work);
    this.#settle(lane);
    this.#forget(lane.accountQueue);
  }

  #count(lane: lanes.FlowQueue, change: 1 | -1, work: number): void {
    lane.size += change;
    lane.accountQueue.size += change;
    lane.work = lane.size === 0 ? 0 : lane.work + change * work;
    this.#work = this.size === 0 ? 0 : this.#work + change * work;
  }

  /** Puts a lane and its account among those with work, or without. */
  #settle(lane: lanes.FlowQueue): void {
    const { accountQueue: owner } = lane;
    if (lane.fresh.size > 0) owner.scheduler.activate(lane);
    else owner.scheduler.deactivate(lane);
    if (owner.scheduler.peek() !== undefined) this.#turns.activate(owner);
    else this.#turns.deactivate(owner);
    if (lane.size === 0) this.#waiting.remove(lane);
    else if (lane.flowWeightPos < 0) this.#waiting.push(lane);
  }

  #forget(owner: lanes.AccountQueue): void {
    const over = (lane: lanes.FlowQueue) => owner.flowQueues.delete(lane.kind);
    forgetAll(owner.scheduler, { over, all: owner.size === 0 });
    forgetAll(this.#turns, {
      over: (account) => this.#accounts.delete(account.name),
      all: this.size === 0,
    });
  }

  #weigh(lane: lanes.FlowQueue): void {
    lane.weight = weight.ofKind(this.#policies, lane.kind);
    lane.flowWeight = weight.ofFlow(this.#policies, lane);
  }

  #laneOf({ account, kind }: weight.Flow): lanes.FlowQueue {
    let owner = this.#accounts.get(account);
    if (owner === undefined) {
      owner = lanes.createAccountQueue(account);
      owner.weight = weight.ofAccount(this.#policies, account);
      this.#accounts.set(account, owner);
    }
    let lane = owner.flowQueues.get(kind);
    if (lane === undefined) {
      lane = lanes.createFlowQueue(owner, kind);
      this.#weigh(lane);
      owner.flowQueues.set(kind, lane);
    }
    return lane;
  }
}

/** Virtual start of the member whose turn it is. */
function startOf(turns: schedule.FairScheduler<schedule.Entity>): number {
  return turns.peek()?.startTag ?? 0;
}

/** Whether the turn of a lane comes first, its account's before its own. */
function isBefore(a: lanes.FlowQueue, b: lanes.FlowQueue): boolean {
  const accounts = schedule.compare(a.accountQueue, b.accountQueue);
  return (accounts !== 0 ? accounts : schedule.compare(a, b)) < 0;
}

/** Forgets members that hold nothing; those that only wait for retries are
 * kept, since their entries refer to them. */
function forgetAll<T extends lanes.AccountQueue | lanes.FlowQueue>(
  turns: schedule.FairScheduler<T>,
  by: { over(member: T): void; all: boolean },
): void {
  const kept: T[] = [];
  let member = turns.removeIdle(by.all);
  while (member !== undefined) {
    if (member.size > 0) kept.push(member);
    else by.over(member);
    member = turns.removeIdle(by.all);
  }
  for (const one of kept) turns.deactivate(one);
}
