/** Approximate index of the prompt blocks in each engine's prefix cache, built
 * from this host's own calls and from cache events, which arrive late and with
 * gaps. A wrong entry costs a prefill but never a wrong answer.
 * @module */

/** An engine that is believed to hold the first blocks of a prompt. */
export interface Holder {
  endpoint: string;
  /** Minimum number of leading blocks that it holds. */
  blocks: number;
}

/** A cache event of an engine. */
export interface CacheEvent {
  sequence: number;
  stored: readonly string[];
  removed: readonly string[];
}

/** An engine whose cache is tracked. */
interface Engine {
  id: string;
  /** Incremented to invalidate all entries of the engine. */
  epoch: number;
  /** Sequence number of the last cache event. */
  sequence: number | undefined;
}

/** An entry of the index: an engine is believed to hold a block. */
interface Entry {
  engine: Engine;
  /** Epoch of the engine in which the entry was made. */
  epoch: number;
  /** Time of the last confirmation. */
  at: number;
}

/** Maximum number of indexed blocks, for all engines together. */
const DEFAULT_CAPACITY = 16_384;
/** Maximum number of engines in the index for one block. */
const MAX_ENGINES_PER_BLOCK = 4;
/** Maximum number of holders that a search returns. */
const MAX_FOUND = 4;
/** Milliseconds after which an entry expires. */
const ENTRY_LIFETIME_MS = 300_000;
/** Number of leading blocks of a prompt that are all indexed. */
const DENSE_BLOCKS = 16;
/** Interval at which the blocks after these are indexed. */
const BLOCK_STRIDE = 8;
/** Maximum distance of an out-of-order event; an event further back means that
 * the engine has restarted. */
const MAX_REORDER_DISTANCE = 16;

/** Prefix cache index of one service's engines; mutated in place. */
export class PrefixIndex {
  /** Least recently used first. */
  #blocks = new Map<string, Entry[]>();
  #engines = new Map<string, Engine>();
  #capacity: number;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Creates an empty index. */
  static create(capacity = DEFAULT_CAPACITY): PrefixIndex {
    return new PrefixIndex(capacity);
  }

  /** Number of indexed blocks. */
  get size(): number {
    return this.#blocks.size;
  }

  /** Records that a prompt was sent to an engine. */
  recordPrompt(endpoint: string, prefix: readonly string[], now: number): void {
    const engine = this.#engine(endpoint);
    // Leading blocks are inserted last, so that trailing ones are evicted
    // first.
    for (let rank = rankCount(prefix.length) - 1; rank >= 0; rank--) {
      this.#insert(prefix[position(rank)], engine, now);
    }
  }

  /** Applies a cache event; returns whether a gap in the sequence invalidated
   * the engine's entries. */
  applyEvent(endpoint: string, change: CacheEvent, now: number): boolean {
    const engine = this.#engine(endpoint);
    const last = engine.sequence;
    if (isLate(change.sequence, last)) return false;
    const gap = last !== undefined && change.sequence !== last + 1;
    if (gap) engine.epoch++;
    engine.sequence = change.sequence;
    for (const block of change.stored) this.#insert(block, engine, now);
    for (const block of change.removed) this.#removeEntry(block, engine);
    return gap;
  }

  /** Invalidates all entries of an engine, such as one that left. */
  removeEngine(endpoint: string): void {
    const engine = this.#engines.get(endpoint);
    if (engine === undefined) return;
    engine.epoch++;
    this.#engines.delete(endpoint);
  }

  /** Finds the engines that hold the longest prefixes of a prompt, longest
   * first. */
  holders(prefix: readonly string[], now: number): Holder[] {
    const found: Holder[] = [];
    let rank = this.#lastHeldRank(prefix, now);
    while (rank >= 0 && found.length < MAX_FOUND) {
      const pos = position(rank);
      this.#collectHolders(prefix[pos], { blocks: pos + 1, found, now });
      rank = Math.floor(rank / 2) - (rank < 2 ? 1 : 0);
    }
    return found;
  }

  /** Whether an engine is believed to hold a block. */
  holds(endpoint: string, block: string, now: number): boolean {
    const entries = this.#blocks.get(block) ?? [];
    return entries.some((entry) =>
      entry.engine.id === endpoint && isValid(entry, now)
    );
  }

  #engine(id: string): Engine {
    let engine = this.#engines.get(id);
    if (engine === undefined) {
      engine = { id, epoch: 0, sequence: undefined };
      this.#engines.set(id, engine);
    }
    return engine;
  }

  #insert(block: string, engine: Engine, now: number): void {
    const entries = this.#blocks.get(block) ?? [];
    const entry = { engine, epoch: engine.epoch, at: now };
    const pos = entries.findIndex((entry) => entry.engine === engine);
    if (pos >= 0) entries[pos] = entry;
    else if (entries.length < MAX_ENGINES_PER_BLOCK) entries.push(entry);
    else entries[replaceable(entries, now)] = entry;
    this.#blocks.delete(block);
    this.#blocks.set(block, entries);
    if (this.#blocks.size > this.#capacity) this.#evict();
  }

  #removeEntry(block: string, engine: Engine): void {
    const entries = this.#blocks.get(block);
    if (entries === undefined) return;
    const pos = entries.findIndex((entry) => entry.engine === engine);
    if (pos >= 0) entries.splice(pos, 1);
    if (entries.length === 0) this.#blocks.delete(block);
  }

  #evict(): void {
    const first = this.#blocks.keys().next();
    if (!first.done) this.#blocks.delete(first.value);
  }

  /** Rank of the last block that any engine holds, -1 for none. Bisection is
   * possible since an engine that holds a block holds all blocks before it. */
  #lastHeldRank(prefix: readonly string[], now: number): number {
    let low = -1;
    let high = rankCount(prefix.length);
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if (this.#isHeld(prefix[position(middle)], now)) low = middle;
      else high = middle;
    }
    return low;
  }

  #isHeld(block: string, now: number): boolean {
    const entries = this.#blocks.get(block);
    return entries !== undefined &&
      entries.some((entry) => isValid(entry, now));
  }

  #collectHolders(
    block: string,
    { blocks, found, now }: { blocks: number; found: Holder[]; now: number },
  ): void {
    for (const entry of this.#blocks.get(block) ?? []) {
      if (found.length === MAX_FOUND) return;
      if (!isValid(entry, now)) continue;
      const endpoint = entry.engine.id;
      if (found.some((other) => other.endpoint === endpoint)) continue;
      found.push({ endpoint, blocks });
    }
  }
}

/** Number of indexed blocks of a prompt. */
function rankCount(length: number): number {
  if (length <= DENSE_BLOCKS) return length;
  return DENSE_BLOCKS + Math.floor((length - DENSE_BLOCKS) / BLOCK_STRIDE);
}

/** Position in the prompt of the indexed block of a rank. */
function position(rank: number): number {
  return rank < DENSE_BLOCKS
    ? rank
    : DENSE_BLOCKS + (rank - DENSE_BLOCKS + 1) * BLOCK_STRIDE - 1;
}

function isValid(entry: Entry, now: number): boolean {
  return entry.epoch === entry.engine.epoch &&
    now - entry.at < ENTRY_LIFETIME_MS;
}

/** Position of the first invalid entry, or else of the oldest one. */
function replaceable(entries: readonly Entry[], now: number): number {
  let found = 0;
  for (let pos = 0; pos < entries.length; pos++) {
    if (!isValid(entries[pos], now)) return pos;
    if (entries[pos].at < entries[found].at) found = pos;
  }
  return found;
}

/** Whether an event arrived after a later one. The sequence numbers of a
 * restarted engine start again at 0 or 1. */
function isLate(sequence: number, last: number | undefined): boolean {
  if (last === undefined || sequence > last) return false;
  if (sequence <= 1 && last > 1) return false;
  return last - sequence <= MAX_REORDER_DISTANCE;
}
