/** Queue of gossip updates to the neighbours. Updates that are not urgent are
 * rate limited. A neighbour from which an update has been received gets no copy
 * of it, so an update that waits costs fewer copies.
 * @module */

/** Send rate while the backlog is small. */
export const RATE_BYTES_PER_SECOND = 1000;
/** Bytes that may be sent at once after an idle time. */
export const BURST_BYTES = 2500;
/** Time within which a backlog of any size is to be sent; the rate rises
 * accordingly. */
export const MAX_DRAIN_MS = 8000;
/** Size of a message without its entries. */
const ENVELOPE_BYTES = 110;

/** A queued update. */
export interface Item<T> {
  entry: T;
  /** Hosts that already know the update. */
  knownBy: ReadonlySet<string>;
}

/** Queued updates by the id of their subject; immutable. */
export interface GossipQueue<T> {
  readonly items: ReadonlyMap<string, Item<T>>;
  /** Bytes that could be sent at `creditUpdatedAt`; negative after an
   * overdraft. */
  readonly credit: number;
  readonly creditUpdatedAt: number;
  /** Index of the neighbour served first, which rotates. */
  readonly firstNeighbour: number;
}

/** Options of sending. */
export interface SendOptions<T> {
  neighbours: readonly string[];
  /** Size of an entry in a message, in bytes. */
  sizeOf(entry: T): number;
  /** Whether an entry is sent before others and without waiting for credit. */
  isUrgent(entry: T): boolean;
  /** Maximum number of entries in one message. */
  maxEntries: number;
}

/** Entries to be sent to one neighbour. */
export interface Batch<T> {
  to: string;
  entries: T[];
}

/** Creates an empty queue. */
export function create<T>(): GossipQueue<T> {
  return {
    items: new Map(),
    credit: BURST_BYTES,
    creditUpdatedAt: 0,
    firstNeighbour: 0,
  };
}

/** Adds an update received from `from`; it replaces an older update of the same
 * subject. */
export function enqueue<T extends { id: string }>(
  queue: GossipQueue<T>,
  entry: T,
  from: string,
): GossipQueue<T> {
  const item = { entry, knownBy: new Set([from]) };
  return { ...queue, items: new Map(queue.items).set(entry.id, item) };
}

/** Records that `from` already knows a queued update. */
export function markKnown<T>(
  queue: GossipQueue<T>,
  id: string,
  from: string,
): GossipQueue<T> {
  const item = queue.items.get(id);
  if (item === undefined || item.knownBy.has(from)) return queue;
  const knownBy = new Set(item.knownBy).add(from);
  const items = new Map(queue.items).set(id, { ...item, knownBy });
  return { ...queue, items };
}

/** Restores the credit to a full burst, for a host that is about to stop. */
export function refillCredit<T>(queue: GossipQueue<T>): GossipQueue<T> {
  return { ...queue, credit: BURST_BYTES };
}

/** Removes the updates that may be sent at `now`; the others wait for
 * credit. */
export function dequeue<T extends { id: string }>(
  queue: GossipQueue<T>,
  now: number,
  options: SendOptions<T>,
): { queue: GossipQueue<T>; batches: Batch<T>[] } {
  const { neighbours } = options;
  const ready = [...queue.items.values()].sort((left, right) => {
    return Number(options.isUrgent(right.entry)) -
      Number(options.isUrgent(left.entry));
  });
  const pending = new Map(neighbours.map((to): [string, T[]] => {
    const lacking = ready.filter(({ knownBy }) => !knownBy.has(to));
    return [to, lacking.map(({ entry }) => entry)];
  }));
  let credit = creditAt(queue, now, totalSize([...pending.values()], options));
  const batches: Batch<T>[] = [];
  for (let pos = 0; pos < neighbours.length; pos++) {
    const to = neighbours[(queue.firstNeighbour + pos) % neighbours.length];
    const entries: T[] = [];
    for (const entry of pending.get(to)!.slice(0, options.maxEntries)) {
      // A message that is started is filled, since its envelope costs as much
      // as 3 entries.
      const mustWait = entries.length === 0 && credit <= 0;
      if (mustWait && !options.isUrgent(entry)) break;
      if (entries.length === 0) credit -= ENVELOPE_BYTES;
      credit -= options.sizeOf(entry);
      entries.push(entry);
    }
    if (entries.length > 0) batches.push({ to, entries });
  }
  const items = remainingItems(queue.items, batches, neighbours);
  const firstNeighbour = (queue.firstNeighbour + batches.length) %
    (neighbours.length || 1);
  const remainingCredit = Math.max(-BURST_BYTES, credit);
  return {
    queue: {
      items,
      credit: remainingCredit,
      creditUpdatedAt: now,
      firstNeighbour,
    },
    batches,
  };
}

function totalSize<T>(
  pending: T[][],
  { sizeOf }: SendOptions<T>,
): number {
  return pending.flat().reduce((sum, entry) => sum + sizeOf(entry), 0);
}

/** Returns the credit at `now`, which grows at the base rate or, with a large
 * backlog, faster. */
function creditAt<T>(
  { credit, creditUpdatedAt }: GossipQueue<T>,
  now: number,
  backlog: number,
): number {
  const rate = Math.max(RATE_BYTES_PER_SECOND, backlog * 1000 / MAX_DRAIN_MS);
  const earned = Math.max(0, now - creditUpdatedAt) / 1000 * rate;
  return Math.min(BURST_BYTES, credit + earned);
}

/** Returns the items that some neighbour still lacks after sending. */
function remainingItems<T extends { id: string }>(
  items: GossipQueue<T>["items"],
  batches: readonly Batch<T>[],
  neighbours: readonly string[],
): GossipQueue<T>["items"] {
  const remaining = new Map(items);
  for (const { to, entries } of batches) {
    for (const { id } of entries) {
      const item = remaining.get(id)!;
      remaining.set(id, { ...item, knownBy: new Set(item.knownBy).add(to) });
    }
  }
  for (const [id, { knownBy }] of remaining) {
    if (neighbours.every((to) => knownBy.has(to))) remaining.delete(id);
  }
  return remaining;
}
