/** Prefix cache of an engine: blocks of prompts in bounded memory, the least
 * recently used block dropped first. Changed in place: a copy for each call
 * would cost more than the call.
 * @module */

/** What a call changed in the cache. */
export interface Change {
  stored: string[];
  removed: string[];
}

/** Blocks by hash, each knowing the block before it. */
export class PrefixCache {
  readonly #capacity: number;
  /** Parent by hash, least recently used first. */
  readonly #blocks = new Map<string, string | undefined>();

  /** Holds at most `capacity` blocks. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Blocks held. */
  get size(): number {
    return this.#blocks.size;
  }

  /** Share of the memory in use, 0 to 1. */
  get used(): number {
    return this.#blocks.size / this.#capacity;
  }

  /** How many of the leading blocks are held. */
  match(hashes: readonly string[]): number {
    const pos = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return pos < 0 ? hashes.length : pos;
  }

  /** Stores a chain of blocks, as far as memory allows. */
  store(hashes: readonly string[]): Change {
    const kept = hashes.slice(0, this.#capacity);
    const stored = kept.filter((hash) => !this.#blocks.has(hash));
    // Children before parents, so that a parent outlives its children.
    for (let pos = kept.length - 1; pos >= 0; pos--) {
      this.#blocks.delete(kept[pos]);
      this.#blocks.set(kept[pos], kept[pos - 1]);
    }
    return { stored, removed: this.#evict() };
  }

  /** The chain that ends in `hash`, or undefined when a block is missing. */
  chain(hash: string): string[] | undefined {
    const chain: string[] = [];
    let next: string | undefined = hash;
    while (next !== undefined) {
      if (!this.#blocks.has(next)) return undefined;
      chain.unshift(next);
      next = this.#blocks.get(next);
    }
    return chain;
  }

  #evict(): string[] {
    const removed: string[] = [];
    for (const hash of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#capacity) break;
      this.#blocks.delete(hash);
      removed.push(hash);
    }
    return removed;
  }
}
