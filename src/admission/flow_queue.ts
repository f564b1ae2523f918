/** Data structures of the fair queue: items, entries, and the queues of flows
 * and accounts, with the orders of its heaps.
 * @module */

import * as heap from "./heap.ts";
import * as fairScheduler from "./fair_scheduler.ts";
import type * as weight from "./weight.ts";

/** A unit of work that waits for a slot. */
export interface Item extends weight.Flow {
  id: string;
  /** First arrival of the request, milliseconds; unchanged by a retry. */
  arrived: number;
  deadline: number;
  /** Latest start, in milliseconds, at which the deadline can still be met. */
  expires: number;
  /** Predicted slot time, milliseconds. */
  work: number;
  /** Start tag assigned when the item is first dequeued. */
  startTag?: number;
}

/** A queued item with its position in each heap. */
export interface Entry {
  item: Item;
  flowQueue: FlowQueue;
  /** Whether the item was dequeued before, so that it keeps its start tag. */
  retried: boolean;
  orderPos: number;
  latestDeadlinePos: number;
  expiryPos: number;
}

/** Queued items of one account. */
export interface AccountQueue extends fairScheduler.Entity {
  weight: number;
  /** Orders the account's flows for service. */
  scheduler: fairScheduler.FairScheduler<FlowQueue>;
  /** All flows of the account by kind. */
  flowQueues: Map<string, FlowQueue>;
  size: number;
}

/** Queued items of one flow: one kind of one account. */
export interface FlowQueue extends fairScheduler.Entity, weight.Flow {
  accountQueue: AccountQueue;
  /** Weight among the kinds of the account. */
  weight: number;
  /** Weight among all flows. */
  flowWeight: number;
  work: number;
  size: number;
  /** Items that were never dequeued, earliest deadline first. */
  fresh: heap.Heap<Entry>;
  /** All items, latest deadline first. */
  byLatestDeadline: heap.Heap<Entry>;
  flowWeightPos: number;
}

/** Creates an entry that is in no heap. */
export function createEntry(item: Item, flowQueue: FlowQueue): Entry {
  const retried = item.startTag !== undefined;
  return {
    item,
    flowQueue,
    retried,
    orderPos: -1,
    latestDeadlinePos: -1,
    expiryPos: -1,
  };
}

/** Creates an account without flows. */
export function createAccountQueue(name: string): AccountQueue {
  return {
    name,
    weight: 1,
    startTag: 0,
    scheduler: fairScheduler.FairScheduler.create(),
    flowQueues: new Map(),
    size: 0,
    readyPos: -1,
    idlePos: -1,
  };
}

/** Creates a flow without items. */
export function createFlowQueue(
  accountQueue: AccountQueue,
  kind: string,
): FlowQueue {
  return {
    name: kind,
    account: accountQueue.name,
    kind,
    accountQueue,
    weight: 1,
    flowWeight: 1,
    startTag: 0,
    work: 0,
    size: 0,
    fresh: heap.Heap.create<Entry>(deadlineOrder),
    byLatestDeadline: heap.Heap.create<Entry>(latestDeadlineOrder),
    readyPos: -1,
    idlePos: -1,
    flowWeightPos: -1,
  };
}

/** Start tag of a retried entry. */
export function startTagOf(entry: Entry): number {
  return entry.item.startTag ?? 0;
}

/** Orders by deadline, then by arrival, then by id, so that the order is
 * deterministic. */
export function isBefore(a: Item, b: Item): boolean {
  if (a.deadline !== b.deadline) return a.deadline < b.deadline;
  if (a.arrived !== b.arrived) return a.arrived < b.arrived;
  return a.id < b.id;
}

/** Part of its allowance that an item keeps in reserve: with less time left it
 * is no longer deferred. */
const SLACK_RESERVE_RATIO = 0.2;

/** Ratio of an item's allowance to another's from which on it is deferred. */
const DEFERRAL_RATIO = 2;

/** Whether an item has enough slack left to be deferred. */
export function canDefer(item: Item, now: number): boolean {
  return item.expires - now > SLACK_RESERVE_RATIO * allowance(item);
}

/** Whether `item` is deferred in favour of `other`, whose allowance is far
 * smaller. */
export function defersTo(item: Item, other: Item): boolean {
  return allowance(other) * DEFERRAL_RATIO <= allowance(item);
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
const latestDeadlineOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(b.item, a.item),
  position: (entry) => entry.latestDeadlinePos,
  setPosition: (entry, pos) => entry.latestDeadlinePos = pos,
};

/** Earliest start tag first. */
export const retriedOrder: heap.Order<Entry> = {
  less: (a, b) =>
    startTagOf(a) !== startTagOf(b)
      ? startTagOf(a) < startTagOf(b)
      : isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  setPosition: (entry, pos) => entry.orderPos = pos,
};

/** Earliest latest start first. */
export const expiryOrder: heap.Order<Entry> = {
  less: (a, b) => a.item.expires < b.item.expires,
  position: (entry) => entry.expiryPos,
  setPosition: (entry, pos) => entry.expiryPos = pos,
};

/** Lowest weight among all flows first, then by name. */
export const flowWeightOrder: heap.Order<FlowQueue> = {
  less(a, b) {
    if (a.flowWeight !== b.flowWeight) return a.flowWeight < b.flowWeight;
    return a.account !== b.account ? a.account < b.account : a.kind < b.kind;
  },
  position: (flow) => flow.flowWeightPos,
  setPosition: (flow, pos) => flow.flowWeightPos = pos,
};
