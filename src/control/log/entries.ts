/** The part of the log held in memory, as an immutable value.
 * @module */

import type * as schema from "../../schema/log_types.ts";

/** An index and the term of the entry that stands there. */
export interface Position {
  readonly index: number;
  readonly term: number;
}

type Chunk = readonly schema.Entry[];

const CHUNK_BITS = 6;
const CHUNK_MASK = (1 << CHUNK_BITS) - 1;
const ZERO: Position = { index: 0, term: 0 };

/** Entries after `base`. Changes copy one chunk, not the whole log. */
export class Entries {
  /** Last position that is no longer held. */
  readonly base: Position;
  /** Last position held; `base` when there is none. */
  readonly last: Position;
  readonly #chunks: readonly Chunk[];

  private constructor(base: Position, last: Position, chunks: Chunk[]) {
    this.base = base;
    this.last = last;
    this.#chunks = chunks;
  }

  /** No entries after `base`. */
  static create(base: Position = ZERO): Entries {
    return new Entries(base, base, []);
  }

  /** The entry at `index`, or undefined when it is not held. */
  at(index: number): schema.Entry | undefined {
    if (index <= this.base.index || index > this.last.index) return undefined;
    return this.#chunks[this.#place(index)][index & CHUNK_MASK];
  }

  /** The term at `index`, or undefined when it is not known. */
  term(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.at(index)?.term;
  }

  /** Entries from `from` up to and including `to`, as far as held. */
  slice(from: number, to: number): schema.Entry[] {
    const result: schema.Entry[] = [];
    const end = Math.min(to, this.last.index);
    for (let pos = Math.max(from, this.base.index + 1); pos <= end; pos++) {
      result.push(this.at(pos)!);
    }
    return result;
  }

  /** Adds entries that follow on the last one. */
  append(entries: readonly schema.Entry[]): Entries {
    if (entries.length === 0) return this;
    const chunks = this.#chunks.slice() as schema.Entry[][];
    const copied = new Set<number>();
    for (const entry of entries) {
      const place = this.#place(entry.index);
      if (!copied.has(place)) chunks[place] = (chunks[place] ?? []).slice();
      copied.add(place);
      chunks[place][entry.index & CHUNK_MASK] = entry;
    }
    const { index, term } = entries[entries.length - 1];
    return new Entries(this.base, { index, term }, chunks);
  }

  /** Drops the entries from `from` on. */
  truncate(from: number): Entries {
    const index = from - 1;
    const last = { index, term: this.term(index)! };
    const count = index === this.base.index ? 0 : this.#place(index) + 1;
    return new Entries(this.base, last, this.#chunks.slice(0, count));
  }

  /** Drops the entries up to and including `index`. */
  compact(index: number): Entries {
    const base = { index, term: this.term(index)! };
    const first = (index + 1) >> CHUNK_BITS;
    const dropped = first - ((this.base.index + 1) >> CHUNK_BITS);
    return new Entries(base, this.last, this.#chunks.slice(dropped));
  }

  #place(index: number): number {
    return (index >> CHUNK_BITS) - ((this.base.index + 1) >> CHUNK_BITS);
  }
}
