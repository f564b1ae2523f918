/** Items, and the flows they belong to, as the fair queue keeps them.
 * @module */

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

/** A flow in the queue, with its position in each heap. */
export interface Lane {
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

/** An entry in no heap yet. */
export function createEntry(item: Item, lane: Lane): Entry {
  const retried = item.start !== undefined;
  return { item, lane, retried, orderPos: -1, lastPos: -1, expiryPos: -1 };
}

/** A lane without items. */
export function createLane(name: string, flow: weight.Flow): Lane {
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

/** The entry to be served next, of the first retried one and a lane. */
export function first(retried?: Entry, lane?: Lane): Entry | undefined {
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

/** Earliest deadline first. */
export const deadlineOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(a.item, b.item),
  position: (entry) => entry.orderPos,
  place: (entry, pos) => entry.orderPos = pos,
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

/** Latest deadline first. */
export const lastOrder: heap.Order<Entry> = {
  less: (a, b) => isBefore(b.item, a.item),
  position: (entry) => entry.lastPos,
  place: (entry, pos) => entry.lastPos = pos,
};

/** Earliest expiry first. */
export const expiryOrder: heap.Order<Entry> = {
  less: (a, b) => a.item.expires < b.item.expires,
  position: (entry) => entry.expiryPos,
  place: (entry, pos) => entry.expiryPos = pos,
};

/** Least virtual start first. */
export const readyOrder: heap.Order<Lane> = {
  less: (a, b) => a.start !== b.start ? a.start < b.start : a.name < b.name,
  position: (lane) => lane.startPos,
  place: (lane, pos) => lane.startPos = pos,
};

/** Least weight first, then the one served most. */
export const weightOrder: heap.Order<Lane> = {
  less(a, b) {
    if (a.weight !== b.weight) return a.weight < b.weight;
    return a.start !== b.start ? a.start > b.start : a.name < b.name;
  },
  position: (lane) => lane.weightPos,
  place: (lane, pos) => lane.weightPos = pos,
};

/** Least virtual start first. */
export const idleOrder: heap.Order<Lane> = {
  less: (a, b) => a.start < b.start,
  position: (lane) => lane.idlePos,
  place: (lane, pos) => lane.idlePos = pos,
};
