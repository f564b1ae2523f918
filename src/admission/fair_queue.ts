/** Weighted fair queue between flows, earliest deadline first within one.
 *
 * Start-time fair queueing: a flow carries the virtual time at which its next
 * item starts; the flow with the least one is served and moves on by work
 * divided by weight. Work is charged when an item leaves, so that the order
 * within a flow can change until then. A retried item keeps its virtual start
 * and is served before everything that started later; its flow pays again.
 * @module */

import type * as request from "../request/mod.ts";
import * as heap from "./heap.ts";
import * as weight from "./weight.ts";

/** Work that waits for a slot. */
export interface Item extends weight.Flow {
  id: string;
  /** First arrival of the request, milliseconds; a retry keeps it. */
  arrived: number;
  deadline: number;
  /** Latest start, in milliseconds, at which it can still finish. */
  expires: number;
  /** Predicted milliseconds of a slot. */
  work: number;
  /** Virtual start given when it first left the queue. */
  start?: number;
}

/** A flow as a dump shows it. */
export interface FlowState {
  flow: string;
  weight: number;
  size: number;
  work: number;
}

interface Entry {
  item: Item;
  lane: Lane;
  /** True when it left the queue before, so that it keeps its start. */
  retried: boolean;
  orderPos: number;
  lastPos: number;
  expiryPos: number;
}

interface Lane {
  name: string;
  flow: weight.Flow;
  weight: number;
  /** Virtual start of the next item. */
  start: number;
  work: number;
  size: number;
  /** Fresh items, earliest deadline first. */
  fresh: heap.Heap<Entry>;
  /** All items, latest deadline first. */
  last: heap.Heap<Entry>;
  startPos: number;
  weightPos: number;
  idlePos: number;
}

/** Items of all flows that wait for one pool of slots. */
export class FairQueue {
  #policies: request.Policies;
  #virtual = 0;
  #work = 0;
  readonly #entries = new Map<string, Entry>();
  readonly #lanes = new Map<string, Lane>();
  readonly #ready = heap.Heap.create<Lane>(readyOrder);
  readonly #waiting = heap.Heap.create<Lane>(weightOrder);
  readonly #idle = heap.Heap.create<Lane>(idleOrder);
  readonly #retried = heap.Heap.create<Entry>(retriedOrder);
  readonly #expiry = heap.Heap.create<Entry>(expiryOrder);

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
    for (const lane of this.#lanes.values()) {
      lane.weight = weight.weightOf(policies, lane.flow);
      this.#waiting.update(lane);
    }
  }

  /** Queues an item; returns false when one with its id waits already. */
  push(item: Item): boolean {
    if (this.#entries.has(item.id)) return false;
    const lane = this.#laneOf(item);
    if (lane.size === 0) lane.start = Math.max(lane.start, this.#virtual);
    const entry = createEntry(item, lane);
    this.#entries.set(item.id, entry);
    this.#expiry.push(entry);
    lane.last.push(entry);
    lane.size++;
    lane.work += item.work;
    this.#work += item.work;
    if (lane.weightPos < 0) this.#waiting.push(lane);
    if (entry.retried) this.#retried.push(entry);
    else this.#pushFresh(lane, entry);
    return true;
  }

  /** Removes the item to be served next. */
  pop(): Item | undefined {
    const lane = this.#ready.peek();
    const retried = this.#retried.peek();
    const entry = first(retried, lane);
    if (entry === undefined) return undefined;
    const start = entry.item.start ?? entry.lane.start;
    this.#virtual = Math.max(this.#virtual, start);
    entry.item.start = start;
    this.#drop(entry, entry.item.work / entry.lane.weight);
    return entry.item;
  }

  /** The item that `pop` would give. */
  peek(): Item | undefined {
    return first(this.#retried.peek(), this.#ready.peek())?.item;
  }

  /** Removes all items whose latest start is before `now`. */
  expire(now: number): Item[] {
    const gone: Item[] = [];
    let entry = this.#expiry.peek();
    while (entry !== undefined && entry.item.expires < now) {
      this.#drop(entry, 0);
      gone.push(entry.item);
      entry = this.#expiry.peek();
    }
    return gone;
  }

  /** Removes the latest deadline of the least weighted flow, and among flows
   * of one weight that of the one served most. */
  shed(): Item | undefined {
    const entry = this.#waiting.peek()?.last.peek();
    if (entry !== undefined) this.#drop(entry, 0);
    return entry?.item;
  }

  /** Removes the item with this id. */
  remove(id: string): Item | undefined {
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#drop(entry, 0);
    return entry?.item;
  }

  toJSON(): FlowState[] {
    return [...this.#lanes.values()].map(({ name, weight, size, work }) => ({
      flow: name,
      weight,
      size,
      work,
    }));
  }

  #pushFresh(lane: Lane, entry: Entry): void {
    lane.fresh.push(entry);
    if (lane.startPos >= 0) return;
    this.#idle.remove(lane);
    lane.start = Math.max(lane.start, this.#virtual);
    this.#ready.push(lane);
    this.#waiting.update(lane);
  }

  #drop(entry: Entry, charge: number): void {
    const { item, lane } = entry;
    this.#entries.delete(item.id);
    this.#expiry.remove(entry);
    lane.last.remove(entry);
    if (entry.retried) this.#retried.remove(entry);
    else lane.fresh.remove(entry);
    lane.size--;
    lane.work -= item.work;
    this.#work -= item.work;
    // A retry of an idle flow must not be charged from a time long past.
    if (charge > 0) lane.start = Math.max(lane.start, this.#virtual) + charge;
    this.#settle(lane);
    if (this.#entries.size === 0) this.#work = 0;
  }

  #settle(lane: Lane): void {
    if (lane.size === 0) {
      lane.work = 0;
      this.#waiting.remove(lane);
    } else this.#waiting.update(lane);
    if (lane.fresh.size > 0) this.#ready.update(lane);
    else this.#ready.remove(lane);
    if (lane.size === 0 && lane.idlePos < 0) this.#idle.push(lane);
    else this.#idle.update(lane);
    this.#forget();
  }

  /** Idle flows that virtual time has passed hold nothing worth keeping. */
  #forget(): void {
    let lane = this.#idle.peek();
    while (lane !== undefined && this.#mayForget(lane)) {
      this.#idle.remove(lane);
      this.#lanes.delete(lane.name);
      lane = this.#idle.peek();
    }
  }

  #mayForget(lane: Lane): boolean {
    return this.#entries.size === 0 || lane.start <= this.#virtual;
  }

  #laneOf(flow: weight.Flow): Lane {
    const name = weight.nameOf(flow);
    let lane = this.#lanes.get(name);
    if (lane === undefined) {
      lane = createLane(name, flow);
      lane.weight = weight.weightOf(this.#policies, flow);
      this.#lanes.set(name, lane);
    }
    this.#idle.remove(lane);
    return lane;
  }
}

function createEntry(item: Item, lane: Lane): Entry {
  const retried = item.start !== undefined;
  return { item, lane, retried, orderPos: -1, lastPos: -1, expiryPos: -1 };
}

function createLane(name: string, flow: weight.Flow): Lane {
  return {
    name,
    flow: { account: flow.account, kind: flow.kind },
    weight: weight.DEFAULT_WEIGHT,
    start: 0,
    work: 0,
    size: 0,
    fresh: heap.Heap.create<Entry>(deadlineOrder),
    last: heap.Heap.create<Entry>(lastOrder),
    startPos: -1,
    weightPos: -1,
    idlePos: -1,
  };
}

function first(retried?: Entry, lane?: Lane): Entry | undefined {
  if (retried === undefined) return lane?.fresh.peek();
  if (lane === undefined) return retried;
  return startOf(retried) <= lane.start ? retried : lane.fresh.peek();
}

function startOf(entry: Entry): number {
  return entry.item.start ?? 0;
}

/** Earliest deadline, then first arrival, then id, so that runs repeat. */
export function isBefore(a: Item, b: Item): boolean {
  if (a.deadline !== b.deadline) return a.deadline < b.deadline;
  if (a.arrived !== b.arrived) return a.arrived < b.arrived;
  return a.id < b.id;
}

const deadlineOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  place: (entry, pos) => entry.orderPos = pos,
};

const retriedOrder: heap.Order<Entry> = {
  less: (a, b) =>
    startOf(a) !== startOf(b)
      ? startOf(a) < startOf(b)
      : isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  place: (entry, pos) => entry.orderPos = pos,
};

const lastOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(b.item, a.item),
  position: (entry) => entry.lastPos,
  place: (entry, pos) => entry.lastPos = pos,
};

const expiryOrder: heap.Order<Entry> = {
  less: (a, b) => a.item.expires < b.item.expires,
  position: (entry) => entry.expiryPos,
  place: (entry, pos) => entry.expiryPos = pos,
};

const readyOrder: heap.Order<Lane> = {
  less: (a, b) => a.start !== b.start ? a.start < b.start : a.name < b.name,
  position: (lane) => lane.startPos,
  place: (lane, pos) => lane.startPos = pos,
};

const weightOrder: heap.Order<Lane> = {
  less(a, b) {
    if (a.weight !== b.weight) return a.weight < b.weight;
    return a.start !== b.start ? a.start > b.start : a.name < b.name;
  },
  position: (lane) => lane.weightPos,
  place: (lane, pos) => lane.weightPos = pos,
};

const idleOrder: heap.Order<Lane> = {
  less: (a, b) => a.start < b.start,
  position: (lane) => lane.idlePos,
  place: (lane, pos) => lane.idlePos = pos,
};
