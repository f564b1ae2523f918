/** In-memory part of the log as an immutable value.
 * @module */

import type * as schema from "../../schema/log_types.ts";

/** An index of the log and the term of the entry at that index. */
export interface Position {
  readonly index: number;
  readonly term: number;
}

type Chunk = readonly schema.Entry[];

const CHUNK_BITS = 6;
const CHUNK_MASK = (1 << CHUNK_BITS) - 1;
const ORIGIN: Position = { index: 0, term: 0 };

/** Log entries after `base`, stored in chunks so that a change copies only the
 * affected chunks. */
export class Entries {
  /** Position before the first entry held. */
  readonly base: Position;
  /** Position of the last entry, or `base` if there are no entries. */
  readonly last: Position;
  readonly #chunks: readonly Chunk[];

  private constructor(base: Position, last: Position, chunks: Chunk[]) {
    this.base = base;
    this.last = last;
    this.#chunks = chunks;
  }

  /** Creates an empty log after `base`. */
  static create(base: Position = ORIGIN): Entries {
    return new Entries(base, base, []);
  }

  /** Returns the entry at `index`, or undefined if it is not held. */
  at(index: number): schema.Entry | undefined {
    if (index <= this.base.index || index > this.last.index) return undefined;
    return this.#chunks[this.#chunkIndex(index)][index & CHUNK_MASK];
  }

  /** Returns the term at `index`, or undefined if it is not known. */
  term(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.at(index)?.term;
  }

  /** Returns the entries held from `from` up to and including `to`. */
  slice(from: number, to: number): schema.Entry[] {
    const result: schema.Entry[] = [];
    const end = Math.min(to, this.last.index);
    for (let pos = Math.max(from, this.base.index + 1); pos <= end; pos++) {
      result.push(this.at(pos)!);
    }
    return result;
  }

  /** Appends entries, the first of which directly follows the last one held. */
  append(entries: readonly schema.Entry[]): Entries {
    if (entries.length === 0) return this;
    const chunks = this.#chunks.slice() as schema.Entry[][];
    const copied = new Set<number>();
    for (const entry of entries) {
      const chunkIndex = this.#chunkIndex(entry.index);
      if (!copied.has(chunkIndex)) {
        chunks[chunkIndex] = (chunks[chunkIndex] ?? []).slice();
      }
      copied.add(chunkIndex);
      chunks[chunkIndex][entry.index & CHUNK_MASK] = entry;
    }
    const { index, term } = entries[entries.length - 1];
    return new Entries(this.base, { index, term }, chunks);
  }

  /** Removes the entries from `from` on. */
  truncate(from: number): Entries {
    const index = from - 1;
    const last = { index, term: this.term(index)! };
    const count = index === this.base.index ? 0 : this.#chunkIndex(index) + 1;
    return new Entries(this.base, last, this.#chunks.slice(0, count));
  }

  /** Removes the entries up to and including `index`. */
  compact(index: number): Entries {
    const base = { index, term: this.term(index)! };
    const first = (index + 1) >> CHUNK_BITS;
    const dropped = first - ((this.base.index + 1) >> CHUNK_BITS);
    return new Entries(base, this.last, this.#chunks.slice(dropped));
  }

  #chunkIndex(index: number): number {
    return (index >> CHUNK_BITS) - ((this.base.index + 1) >> CHUNK_BITS);
  }
}
