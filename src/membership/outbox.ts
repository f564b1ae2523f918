/** News on its way to the neighbours. What is not urgent goes at a bounded
 * rate; a neighbour that has told of a change itself gets no copy, so that what
 * waits is sent less often.
 * @module */

/** Bytes a second that news may take while little of it waits. */
export const RATE = 1000;
/** Bytes that may go at once after a quiet time. */
export const BURST = 2500;
/** What waits is to be sent within so long, whatever its size; milliseconds. */
export const DRAIN = 8000;
/** Bytes of a message without its entries. */
const ENVELOPE = 110;

/** One change. */
export interface Item<T> {
  entry: T;
  /** Hosts that know of it. */
  heard: ReadonlySet<string>;
}

/** Changes by the id of what they are about; never changed in place. */
export interface Outbox<T> {
  readonly items: ReadonlyMap<string, Item<T>>;
  /** Bytes that may be sent at `creditAt`. */
  readonly credit: number;
  readonly creditAt: number;
  /** Messages sent, so that neighbours come first in turn. */
  readonly turn: number;
}

/** What sending depends on. */
export interface Sending<T> {
  neighbours: readonly string[];
  /** Bytes of an entry in a message. */
  cost(entry: T): number;
  /** Whether an entry goes before others and waits for no credit. */
  isUrgent(entry: T): boolean;
  /** Most entries in one message. */
  limit: number;
}

/** Entries for one neighbour. */
export interface Parcel<T> {
  to: string;
  entries: T[];
}

/** An outbox in which nothing waits. */
export function create<T>(): Outbox<T> {
  return { items: new Map(), credit: BURST, creditAt: 0, turn: 0 };
}

/** Takes in a change that `from` told of. */
export function put<T extends { id: string }>(
  outbox: Outbox<T>,
  entry: T,
  from: string,
): Outbox<T> {
  const item = { entry, heard: new Set([from]) };
  return { ...outbox, items: new Map(outbox.items).set(entry.id, item) };
}

/** Notes that `from` knows of a change that waits. */
export function hear<T>(
  outbox: Outbox<T>,
  id: string,
  from: string,
): Outbox<T> {
  const item = outbox.items.get(id);
  if (item === undefined || item.heard.has(from)) return outbox;
  const heard = new Set(item.heard).add(from);
  const items = new Map(outbox.items).set(id, { ...item, heard });
  return { ...outbox, items };
}

/** Lets a full burst go, for a host that has no later time to send. */
export function refill<T>(outbox: Outbox<T>): Outbox<T> {
  return { ...outbox, credit: BURST };
}

/** Takes out what may be sent at `now`; what is left waits for credit. */
export function take<T extends { id: string }>(
  outbox: Outbox<T>,
  now: number,
  sending: Sending<T>,
): { outbox: Outbox<T>; parcels: Parcel<T>[] } {
  const { neighbours } = sending;
  const ready = [...outbox.items.values()].sort((left, right) => {
    return Number(sending.isUrgent(right.entry)) -
      Number(sending.isUrgent(left.entry));
  });
  const waiting = new Map(neighbours.map((to): [string, T[]] => {
    const lacking = ready.filter(({ heard }) => !heard.has(to));
    return [to, lacking.map(({ entry }) => entry)];
  }));
  let credit = creditOf(outbox, now, sumOf([...waiting.values()], sending));
  const parcels: Parcel<T>[] = [];
  for (let pos = 0; pos < neighbours.length; pos++) {
    const to = neighbours[(outbox.turn + pos) % neighbours.length];
    const entries: T[] = [];
    for (const entry of waiting.get(to)!.slice(0, sending.limit)) {
      // A message that is begun goes full: its envelope costs like 3 entries.
      const waits = entries.length === 0 && credit <= 0;
      if (waits && !sending.isUrgent(entry)) break;
      if (entries.length === 0) credit -= ENVELOPE;
      credit -= sending.cost(entry);
      entries.push(entry);
    }
    if (entries.length > 0) parcels.push({ to, entries });
  }
  const items = without(outbox.items, parcels, neighbours);
  const turn = (outbox.turn + parcels.length) % (neighbours.length || 1);
  const left = Math.max(-BURST, credit);
  return { outbox: { items, credit: left, creditAt: now, turn }, parcels };
}

function sumOf<T>(waiting: T[][], { cost }: Sending<T>): number {
  return waiting.flat().reduce((sum, entry) => sum + cost(entry), 0);
}

/** Credit is earned at the usual rate, or faster while much waits. */
function creditOf<T>(
  { credit, creditAt }: Outbox<T>,
  now: number,
  backlog: number,
): number {
  const rate = Math.max(RATE, backlog * 1000 / DRAIN);
  const earned = Math.max(0, now - creditAt) / 1000 * rate;
  return Math.min(BURST, credit + earned);
}

/** The items less those that all neighbours know now. */
function without<T extends { id: string }>(
  items: Outbox<T>["items"],
  parcels: readonly Parcel<T>[],
  neighbours: readonly string[],
): Outbox<T>["items"] {
  const rest = new Map(items);
  for (const { to, entries } of parcels) {
    for (const { id } of entries) {
      const item = rest.get(id)!;
      rest.set(id, { ...item, heard: new Set(item.heard).add(to) });
    }
  }
  for (const [id, { heard }] of rest) {
    if (neighbours.every((to) => heard.has(to))) rest.delete(id);
  }
  return rest;
}
