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
import * as lanes from "./lane.ts";
import * as weight from "./weight.ts";

/** A flow as a dump shows it. */
export interface FlowState {
  flow: string;
  weight: number;
  size: number;
  work: number;
}

/** Items of all flows that wait for one pool of slots. */
export class FairQueue {
  #policies: request.Policies;
  #virtual = 0;
  #work = 0;
  readonly #entries = new Map<string, lanes.Entry>();
  readonly #lanes = new Map<string, lanes.Lane>();
  readonly #ready = heap.Heap.create<lanes.Lane>(lanes.readyOrder);
  readonly #waiting = heap.Heap.create<lanes.Lane>(lanes.weightOrder);
  readonly #idle = heap.Heap.create<lanes.Lane>(lanes.idleOrder);
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
    for (const lane of this.#lanes.values()) {
      lane.weight = weight.weightOf(policies, lane.flow);
      this.#waiting.update(lane);
    }
  }

  /** Queues an item; returns false when one with its id waits already. */
  push(item: lanes.Item): boolean {
    if (this.#entries.has(item.id)) return false;
    const lane = this.#laneOf(item);
    if (lane.size === 0) lane.start = Math.max(lane.start, this.#virtual);
    const entry = lanes.createEntry(item, lane);
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
  pop(): lanes.Item | undefined {
    const lane = this.#ready.peek();
    const retried = this.#retried.peek();
    const entry = lanes.first(retried, lane);
    if (entry === undefined) return undefined;
    const start = entry.item.start ?? entry.lane.start;
    this.#virtual = Math.max(this.#virtual, start);
    entry.item.start = start;
    this.#drop(entry, entry.item.work / entry.lane.weight);
    return entry.item;
  }

  /** Takes back what `pop` gave but could not be started: it keeps its place,
   * and its flow does not pay. */
  putBack(item: lanes.Item): void {
    const lane = this.#lanes.get(weight.nameOf(item));
    if (lane !== undefined) {
      const refunded = lane.start - item.work / lane.weight;
      lane.start = Math.max(this.#virtual, refunded);
      this.#settle(lane);
    }
    this.push(item);
  }

  /** The item that `pop` would give. */
  peek(): lanes.Item | undefined {
    return lanes.first(this.#retried.peek(), this.#ready.peek())?.item;
  }

  /** Removes all items whose latest start is before `now`. */
  expire(now: number): lanes.Item[] {
    const gone: lanes.Item[] = [];
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
  shed(): lanes.Item | undefined {
    const entry = this.#waiting.peek()?.last.peek();
    if (entry !== undefined) this.#drop(entry, 0);
    return entry?.item;
  }

  /** Removes the item with this id. */
  remove(id: string): lanes.Item | undefined {
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

  #pushFresh(lane: lanes.Lane, entry: lanes.Entry): void {
    lane.fresh.push(entry);
    if (lane.startPos >= 0) return;
    this.#idle.remove(lane);
    lane.start = Math.max(lane.start, this.#virtual);
    this.#ready.push(lane);
    this.#waiting.update(lane);
  }

  #drop(entry: lanes.Entry, charge: number): void {
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

  #settle(lane: lanes.Lane): void {
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

  #mayForget(lane: lanes.Lane): boolean {
    return this.#entries.size === 0 || lane.start <= this.#virtual;
  }

  #laneOf(flow: weight.Flow): lanes.Lane {
    const name = weight.nameOf(flow);
    let lane = this.#lanes.get(name);
    if (lane === undefined) {
      lane = lanes.createLane(name, flow);
      lane.weight = weight.weightOf(this.#policies, flow);
      this.#lanes.set(name, lane);
    }
    this.#idle.remove(lane);
    return lane;
  }
}
