/** Items, flows and accounts as the fair queue keeps them.
 * @module */

import * as heap from "./heap.ts";
import * as schedule from "./schedule.ts";
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
  start?: number;
}

/** An item in the queue, with its position in each heap. */
export interface Entry {
  item: Item;
  lane: Lane;
  /** True when it left the queue before, so that it keeps its start. */
  retried: boolean;
  orderPos: number;
  lastPos: number;
  expiryPos: number;
}

/** An account in the queue. */
export interface Account extends schedule.Member {
  weight: number;
  /** Lanes in turn, and all of them by kind. */
  turns: schedule.Schedule<Lane>;
  lanes: Map<string, Lane>;
  size: number;
}

/** A flow in the queue: the items of one kind of one account. */
export interface Lane extends schedule.Member, weight.Flow {
  owner: Account;
  /** Weight among the kinds of the account, and among all flows. */
  weight: number;
  worth: number;
  work: number;
  size: number;
  /** Fresh items, earliest deadline first. */
  fresh: heap.Heap<Entry>;
  /** All items, latest deadline first. */
  last: heap.Heap<Entry>;
  worthPos: number;
}

/** An entry in no heap yet. */
export function createEntry(item: Item, lane: Lane): Entry {
  const retried = item.start !== undefined;
  return { item, lane, retried, orderPos: -1, lastPos: -1, expiryPos: -1 };
}

/** An account without lanes. */
export function createAccount(name: string): Account {
  return {
    name,
    weight: 1,
    start: 0,
    turns: schedule.Schedule.create(),
    lanes: new Map(),
    size: 0,
    readyPos: -1,
    idlePos: -1,
  };
}

/** A lane without items. */
export function createLane(owner: Account, kind: string): Lane {
  return {
    name: kind,
    account: owner.name,
    kind,
    owner,
    weight: 1,
    worth: 1,
    start: 0,
    work: 0,
    size: 0,
    fresh: heap.Heap.create<Entry>(deadlineOrder),
    last: heap.Heap.create<Entry>(lastOrder),
    readyPos: -1,
    idlePos: -1,
    worthPos: -1,
  };
}

/** Virtual start of a retried entry. */
export function startOf(entry: Entry): number {
  return entry.item.start ?? 0;
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
export function isPatient(item: Item, now: number): boolean {
  return item.expires - now > RESERVE * allowance(item);
}

/** Whether `patient` lets `other` go first, since it has far more time. */
export function yields(patient: Item, other: Item): boolean {
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
  place: (entry, pos) => entry.orderPos = pos,
};

/** Latest deadline first. */
const lastOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(b.item, a.item),
  position: (entry) => entry.lastPos,
  place: (entry, pos) => entry.lastPos = pos,
};

/** Least virtual start first. */
export const retriedOrder: heap.Order<Entry> = {
  less: (a, b) =>
    startOf(a) !== startOf(b)
      ? startOf(a) < startOf(b)
      : isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  place: (entry, pos) => entry.orderPos = pos,
};

/** Earliest expiry first. */
export const expiryOrder: heap.Order<Entry> = {
  less: (a, b) => a.item.expires < b.item.expires,
  position: (entry) => entry.expiryPos,
  place: (entry, pos) => entry.expiryPos = pos,
};

/** Least weight among all flows first, then by name. */
export const worthOrder: heap.Order<Lane> = {
  less(a, b) {
    if (a.worth !== b.worth) return a.worth < b.worth;
    return a.account !== b.account ? a.account < b.account : a.kind < b.kind;
  },
  position: (lane) => lane.worthPos,
  place: (lane, pos) => lane.worthPos = pos,
};
