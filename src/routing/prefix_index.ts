/** Belief of which engine has which blocks of a prompt in its cache, from
 * this host's own calls and from cache events that come late and with gaps.
 * A wrong belief costs a prefill, never a wrong answer.
 * @module */

/** An engine that is believed to hold the first blocks of a prompt. */
export interface Holder {
  endpoint: string;
  /** Blocks that it holds, at least. */
  blocks: number;
}

/** A cache event of an engine. */
export interface CacheEvent {
  sequence: number;
  stored: readonly string[];
  removed: readonly string[];
}

interface Engine {
  id: string;
  /** Grows when what was believed of the engine is discarded. */
  epoch: number;
  sequence: number | undefined;
}

interface Belief {
  engine: Engine;
  epoch: number;
  /** When it was last confirmed. */
  at: number;
}

/** Blocks that are remembered, for all engines together. */
const CAPACITY = 16_384;
/** Engines that are remembered for one block. */
const MOST_HOLDERS = 4;
/** Holders that a search returns at most. */
const FOUND = 4;
/** Milliseconds after which a belief counts no more. */
const LIFETIME = 300_000;
/** Leading blocks of a prompt that are all remembered. */
const DENSE = 16;
/** Of the blocks after them, one in so many is. */
const STRIDE = 8;
/** Events out of order by this many are late; by more, a restart. */
const LATE = 16;

/** Beliefs about the engines of one service; changed in place. */
export class PrefixIndex {
  /** Least recently used first. */
  #blocks = new Map<string, Belief[]>();
  #engines = new Map<string, Engine>();
  #capacity: number;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** No beliefs yet. */
  static create(capacity = CAPACITY): PrefixIndex {
    return new PrefixIndex(capacity);
  }

  /** Blocks that are remembered. */
  get size(): number {
    return this.#blocks.size;
  }

  /** Notes that a prompt was sent to an engine. */
  recordPrompt(endpoint: string, prefix: readonly string[], now: number): void {
    const engine = this.#engine(endpoint);
    // The first blocks come last, so that the last ones are forgotten first.
    for (let rank = ranks(prefix.length) - 1; rank >= 0; rank--) {
      this.#believe(prefix[position(rank)], engine, now);
    }
  }

  /** Takes a cache event; returns whether beliefs had to be discarded. */
  applyEvent(endpoint: string, seen: CacheEvent, now: number): boolean {
    const engine = this.#engine(endpoint);
    const last = engine.sequence;
    if (late(seen.sequence, last)) return false;
    const gap = last !== undefined && seen.sequence !== last + 1;
    if (gap) engine.epoch++;
    engine.sequence = seen.sequence;
    for (const block of seen.stored) this.#believe(block, engine, now);
    for (const block of seen.removed) this.#disbelieve(block, engine);
    return gap;
  }

  /** Discards what is believed of an engine, such as one that left. */
  removeEngine(endpoint: string): void {
    const engine = this.#engines.get(endpoint);
    if (engine === undefined) return;
    engine.epoch++;
    this.#engines.delete(endpoint);
  }

  /** Engines that hold most of a prompt, those with more blocks first. */
  holders(prefix: readonly string[], now: number): Holder[] {
    const found: Holder[] = [];
    let rank = this.#deepest(prefix, now);
    while (rank >= 0 && found.length < FOUND) {
      const pos = position(rank);
      this.#collect(prefix[pos], { blocks: pos + 1, found, now });
      rank = Math.floor(rank / 2) - (rank < 2 ? 1 : 0);
    }
    return found;
  }

  /** Whether an engine is believed to hold a block. */
  holds(endpoint: string, block: string, now: number): boolean {
    const beliefs = this.#blocks.get(block) ?? [];
    return beliefs.some((one) => one.engine.id === endpoint && valid(one, now));
  }

  #engine(id: string): Engine {
    let engine = this.#engines.get(id);
    if (engine === undefined) {
      engine = { id, epoch: 0, sequence: undefined };
      this.#engines.set(id, engine);
    }
    return engine;
  }

  #believe(block: string, engine: Engine, now: number): void {
    const beliefs = this.#blocks.get(block) ?? [];
    const belief = { engine, epoch: engine.epoch, at: now };
    const pos = beliefs.findIndex((one) => one.engine === engine);
    if (pos >= 0) beliefs[pos] = belief;
    else if (beliefs.length < MOST_HOLDERS) beliefs.push(belief);
    else beliefs[oldest(beliefs, now)] = belief;
    this.#blocks.delete(block);
    this.#blocks.set(block, beliefs);
    if (this.#blocks.size > this.#capacity) this.#evict();
  }

  #disbelieve(block: string, engine: Engine): void {
    const beliefs = this.#blocks.get(block);
    if (beliefs === undefined) return;
    const pos = beliefs.findIndex((one) => one.engine === engine);
    if (pos >= 0) beliefs.splice(pos, 1);
    if (beliefs.length === 0) this.#blocks.delete(block);
  }

  #evict(): void {
    const first = this.#blocks.keys().next();
    if (!first.done) this.#blocks.delete(first.value);
  }

  /** Rank of the deepest block that an engine holds, -1 for none; by
   * bisection, as an engine that holds a block holds those before it. */
  #deepest(prefix: readonly string[], now: number): number {
    let low = -1;
    let high = ranks(prefix.length);
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if (this.#held(prefix[position(middle)], now)) low = middle;
      else high = middle;
    }
    return low;
  }

  #held(block: string, now: number): boolean {
    const beliefs = this.#blocks.get(block);
    return beliefs !== undefined && beliefs.some((one) => valid(one, now));
  }

  #collect(
    block: string,
    { blocks, found, now }: { blocks: number; found: Holder[]; now: number },
  ): void {
    for (const one of this.#blocks.get(block) ?? []) {
      if (found.length === FOUND) return;
      if (!valid(one, now)) continue;
      const endpoint = one.engine.id;
      if (found.some((other) => other.endpoint === endpoint)) continue;
      found.push({ endpoint, blocks });
    }
  }
}

/** How many blocks of a prompt are remembered. */
function ranks(length: number): number {
  if (length <= DENSE) return length;
  return DENSE + Math.floor((length - DENSE) / STRIDE);
}

/** Position in the prompt of a remembered block. */
function position(rank: number): number {
  return rank < DENSE ? rank : DENSE + (rank - DENSE + 1) * STRIDE - 1;
}

function valid(belief: Belief, now: number): boolean {
  return belief.epoch === belief.engine.epoch && now - belief.at < LIFETIME;
}

/** Position of a belief that no longer counts, else of the oldest. */
function oldest(beliefs: readonly Belief[], now: number): number {
  let found = 0;
  for (let pos = 0; pos < beliefs.length; pos++) {
    if (!valid(beliefs[pos], now)) return pos;
    if (beliefs[pos].at < beliefs[found].at) found = pos;
  }
  return found;
}

/** Whether an event was overtaken by a later one; an engine that starts
 * again counts from the start. */
function late(sequence: number, last: number | undefined): boolean {
  if (last === undefined || sequence > last) return false;
  if (sequence <= 1 && last > 1) return false;
  return last - sequence <= LATE;
}
