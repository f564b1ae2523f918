/** News on its way to the neighbours. What is not urgent goes at a bounded
 * rate; a neighbour that has told of a change itself gets no copy, so that what
 * waits is sent less often.
 * @module */

/** Bytes a second that news may take while little of it waits. */
export const RATE_BYTES_PER_SECOND = 1000;
/** Bytes that may go at once after a quiet time. */
export const BURST_BYTES = 2500;
/** What waits is to be sent within so long, whatever its size; milliseconds. */
export const MAX_DRAIN_MS = 8000;
/** Bytes of a message without its entries. */
const ENVELOPE = 110;

/** One change. */
export interface Item<T> {
  entry: T;
  /** Hosts that know of it. */
  knownBy: ReadonlySet<string>;
}

/** Changes by the id of what they are about; never changed in place. */
export interface GossipQueue<T> {
  readonly items: ReadonlyMap<string, Item<T>>;
  /** Bytes that may be sent at `creditAt`. */
  readonly credit: number;
  readonly creditUpdatedAt: number;
  /** Messages sent, so that neighbours come first in turn. */
  readonly firstNeighbour: number;
}

/** What sending depends on. */
export interface SendOptions<T> {
  neighbours: readonly string[];
  /** Bytes of an entry in a message. */
  sizeOf(entry: T): number;
  /** Whether an entry goes before others and waits for no credit. */
  isUrgent(entry: T): boolean;
  /** Most entries in one message. */
  maxEntries: number;
}

/** Entries for one neighbour. */
export interface Batch<T> {
  to: string;
  entries: T[];
}

/** An outbox in which nothing waits. */
export function create<T>(): GossipQueue<T> {
  return {
    items: new Map(),
    credit: BURST_BYTES,
    creditUpdatedAt: 0,
    firstNeighbour: 0,
  };
}

/** Takes in a change that `from` told of. */
export function enqueue<T extends { id: string }>(
  outbox: GossipQueue<T>,
  entry: T,
  from: string,
): GossipQueue<T> {
  const item = { entry, knownBy: new Set([from]) };
  return { ...outbox, items: new Map(outbox.items).set(entry.id, item) };
}

/** Notes that `from` knows of a change that waits. */
export function markKnown<T>(
  outbox: GossipQueue<T>,
  id: string,
  from: string,
): GossipQueue<T> {
  const item = outbox.items.get(id);
  if (item === undefined || item.knownBy.has(from)) return outbox;
  const heard = new Set(item.knownBy).add(from);
  const items = new Map(outbox.items).set(id, { ...item, knownBy: heard });
  return { ...outbox, items };
}

/** Lets a full burst go, for a host that has no later time to send. */
export function refillCredit<T>(outbox: GossipQueue<T>): GossipQueue<T> {
  return { ...outbox, credit: BURST_BYTES };
}

/** Takes out what may be sent at `now`; what is left waits for credit. */
export function dequeue<T extends { id: string }>(
  outbox: GossipQueue<T>,
  now: number,
  sending: SendOptions<T>,
): { outbox: GossipQueue<T>; parcels: Batch<T>[] } {
  const { neighbours } = sending;
  const ready = [...outbox.items.values()].sort((left, right) => {
    return Number(sending.isUrgent(right.entry)) -
      Number(sending.isUrgent(left.entry));
  });
  const waiting = new Map(neighbours.map((to): [string, T[]] => {
    const lacking = ready.filter(({ knownBy: heard }) => !heard.has(to));
    return [to, lacking.map(({ entry }) => entry)];
  }));
  let credit = creditOf(outbox, now, sumOf([...waiting.values()], sending));
  const parcels: Batch<T>[] = [];
  for (let pos = 0; pos < neighbours.length; pos++) {
    const to = neighbours[(outbox.firstNeighbour + pos) % neighbours.length];
    const entries: T[] = [];
    for (const entry of waiting.get(to)!.slice(0, sending.maxEntries)) {
      // A message that is begun goes full: its envelope costs like 3 entries.
      const waits = entries.length === 0 && credit <= 0;
      if (waits && !sending.isUrgent(entry)) break;
      if (entries.length === 0) credit -= ENVELOPE;
      credit -= sending.sizeOf(entry);
      entries.push(entry);
    }
    if (entries.length > 0) parcels.push({ to, entries });
  }
  const items = without(outbox.items, parcels, neighbours);
  const turn = (outbox.firstNeighbour + parcels.length) %
    (neighbours.length || 1);
  const left = Math.max(-BURST_BYTES, credit);
  return {
    outbox: { items, credit: left, creditUpdatedAt: now, firstNeighbour: turn },
    parcels,
  };
}

function sumOf<T>(waiting: T[][], { sizeOf: cost }: SendOptions<T>): number {
  return waiting.flat().reduce((sum, entry) => sum + cost(entry), 0);
}

/** Credit is earned at the usual rate, or faster while much waits. */
function creditOf<T>(
  { credit, creditUpdatedAt: creditAt }: GossipQueue<T>,
  now: number,
  backlog: number,
): number {
  const rate = Math.max(RATE_BYTES_PER_SECOND, backlog * 1000 / MAX_DRAIN_MS);
  const earned = Math.max(0, now - creditAt) / 1000 * rate;
  return Math.min(BURST_BYTES, credit + earned);
}

/** The items less those that all neighbours know now. */
function without<T extends { id: string }>(
  items: GossipQueue<T>["items"],
  parcels: readonly Batch<T>[],
  neighbours: readonly string[],
): GossipQueue<T>["items"] {
  const rest = new Map(items);
  for (const { to, entries } of parcels) {
    for (const { id } of entries) {
      const item = rest.get(id)!;
      rest.set(id, { ...item, knownBy: new Set(item.knownBy).add(to) });
    }
  }
  for (const [id, { knownBy: heard }] of rest) {
    if (neighbours.every((to) => heard.has(to))) rest.delete(id);
  }
  return rest;
}
