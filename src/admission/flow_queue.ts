/** Items, flows and accounts as the fair queue keeps them.
 * @module */

import * as heap from "./heap.ts";
import * as schedule from "./fair_scheduler.ts";
import type * as weight from "./weight.ts";

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
  startTag?: number;
}

/** An item in the queue, with its position in each heap. */
export interface Entry {
  item: Item;
  flowQueue: FlowQueue;
  /** True when it left the queue before, so that it keeps its start. */
  retried: boolean;
  orderPos: number;
  latestDeadlinePos: number;
  expiryPos: number;
}

/** An account in the queue. */
export interface AccountQueue extends schedule.Entity {
  weight: number;
  /** Lanes in turn, and all of them by kind. */
  scheduler: schedule.FairScheduler<FlowQueue>;
  flowQueues: Map<string, FlowQueue>;
  size: number;
}

/** A flow in the queue: the items of one kind of one account. */
export interface FlowQueue extends schedule.Entity, weight.Flow {
  accountQueue: AccountQueue;
  /** Weight among the kinds of the account, and among all flows. */
  weight: number;
  flowWeight: number;
  work: number;
  size: number;
  /** Fresh items, earliest deadline first. */
  fresh: heap.Heap<Entry>;
  /** All items, latest deadline first. */
  byLatestDeadline: heap.Heap<Entry>;
  flowWeightPos: number;
}

/** An entry in no heap yet. */
export function createEntry(item: Item, lane: FlowQueue): Entry {
  const retried = item.startTag !== undefined;
  return {
    item,
    flowQueue: lane,
    retried,
    orderPos: -1,
    latestDeadlinePos: -1,
    expiryPos: -1,
  };
}

/** An account without lanes. */
export function createAccountQueue(name: string): AccountQueue {
  return {
    name,
    weight: 1,
    startTag: 0,
    scheduler: schedule.FairScheduler.create(),
    flowQueues: new Map(),
    size: 0,
    readyPos: -1,
    idlePos: -1,
  };
}

/** A lane without items. */
export function createFlowQueue(owner: AccountQueue, kind: string): FlowQueue {
  return {
    name: kind,
    account: owner.name,
    kind,
    accountQueue: owner,
    weight: 1,
    flowWeight: 1,
    startTag: 0,
    work: 0,
    size: 0,
    fresh: heap.Heap.create<Entry>(deadlineOrder),
    byLatestDeadline: heap.Heap.create<Entry>(lastOrder),
    readyPos: -1,
    idlePos: -1,
    flowWeightPos: -1,
  };
}

/** Virtual start of a retried entry. */
export function startTagOf(entry: Entry): number {
  return entry.item.startTag ?? 0;
}

/** Earliest deadline, then first arrival, then id, so that runs repeat. */
export function isBefore(a: Item, b: Item): boolean {
  if (a.deadline !== b.deadline) return a.deadline < b.deadline;
  if (a.arrived !== b.arrived) return a.arrived < b.arrived;
  return a.id < b.id;
}

/** Part of an item's allowance for which it does not wait for others. */
const RESERVE = 0.2;

/** Times another item's allowance from which on an item waits for that one. */
const LONGER = 2;

/** Whether an item can still wait while shorter ones are served. */
export function canDefer(item: Item, now: number): boolean {
  return item.expires - now > RESERVE * allowance(item);
}

/** Whether `patient` lets `other` go first, since it has far more time. */
export function defersTo(patient: Item, other: Item): boolean {
  return allowance(other) * LONGER <= allowance(patient);
}

/** Milliseconds between arrival and the latest start. */
function allowance({ expires, arrived }: Item): number {
  return expires - arrived;
}

/** Earliest deadline first. */
const deadlineOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  setPosition: (entry, pos) => entry.orderPos = pos,
};

/** Latest deadline first. */
const lastOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(b.item, a.item),
  position: (entry) => entry.latestDeadlinePos,
  setPosition: (entry, pos) => entry.latestDeadlinePos = pos,
};

/** Least virtual start first. */
export const retriedOrder: heap.Order<Entry> = {
  less: (a, b) =>
    startTagOf(a) !== startTagOf(b)
      ? startTagOf(a) < startTagOf(b)
      : isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  setPosition: (entry, pos) => entry.orderPos = pos,
};

/** Earliest expiry first. */
export const expiryOrder: heap.Order<Entry> = {
  less: (a, b) => a.item.expires < b.item.expires,
  position: (entry) => entry.expiryPos,
  setPosition: (entry, pos) => entry.expiryPos = pos,
};

/** Least weight among all flows first, then by name. */
export const flowWeightOrder: heap.Order<FlowQueue> = {
  less(a, b) {
    if (a.flowWeight !== b.flowWeight) return a.flowWeight < b.flowWeight;
    return a.account !== b.account ? a.account < b.account : a.kind < b.kind;
  },
  position: (lane) => lane.flowWeightPos,
  setPosition: (lane, pos) => lane.flowWeightPos = pos,
};
