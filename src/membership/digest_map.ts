/** An immutable map with a two-level hash tree over its buckets, with which two
 * hosts find the differences between their replicas without sending all entries.
 * @module */

import * as hash from "./hash.ts";

/** Number of hashes in one message: groups of a map, or buckets of a group. */
export const FANOUT = 16;
/** Number of buckets of a map. */
export const BUCKET_COUNT = FANOUT * FANOUT;

/** An entry of a map. */
export interface Entry {
  readonly id: string;
}

/** Hashes what replicas have to agree on; 0 for an entry that is left out of
 * comparisons. */
export type Digest<T> = (entry: T) => number;

interface Bucket<T> {
  readonly entries: ReadonlyMap<string, T>;
  readonly hash: number;
}

/** Entries by id; `set` and `delete` copy one bucket of 256. */
export class DigestMap<T extends Entry> {
  readonly size: number;
  readonly #buckets: readonly (Bucket<T> | undefined)[];
  readonly #digest: Digest<T>;

  private constructor(
    buckets: readonly (Bucket<T> | undefined)[],
    size: number,
    digest: Digest<T>,
  ) {
    this.#buckets = buckets;
    this.size = size;
    this.#digest = digest;
  }

  /** Creates an empty map. */
  static create<T extends Entry>(digest: Digest<T>): DigestMap<T> {
    return new DigestMap<T>(new Array(BUCKET_COUNT).fill(undefined), 0, digest);
  }

  /** Returns the entry with an id. */
  get(id: string): T | undefined {
    return this.#buckets[bucketOf(id)]?.entries.get(id);
  }

  /** Returns a map with `entries` added or replaced; the last one of an id
   * wins. */
  set(...entries: readonly T[]): DigestMap<T> {
    const buckets = this.#buckets.slice();
    let size = this.size;
    for (const entry of entries) {
      const pos = bucketOf(entry.id);
      const old = buckets[pos];
      const known = old?.entries.get(entry.id);
      const hash = (old?.hash ?? 0) ^ this.#digestOf(known) ^
        this.#digestOf(entry);
      const copy = new Map(old?.entries);
      buckets[pos] = { entries: copy.set(entry.id, entry), hash };
      if (known === undefined) size++;
    }
    return new DigestMap(buckets, size, this.#digest);
  }

  /** Returns a map without the entry with an id. */
  delete(id: string): DigestMap<T> {
    const pos = bucketOf(id);
    const old = this.#buckets[pos];
    const known = old?.entries.get(id);
    if (old === undefined || known === undefined) return this;
    const copy = new Map(old.entries);
    copy.delete(id);
    const buckets = this.#buckets.slice();
    buckets[pos] = { entries: copy, hash: old.hash ^ this.#digestOf(known) };
    return new DigestMap(buckets, this.size - 1, this.#digest);
  }

  /** Iterates over all entries. */
  *values(): IterableIterator<T> {
    for (const bucket of this.#buckets) {
      if (bucket !== undefined) yield* bucket.entries.values();
    }
  }

  /** Returns the entries of one bucket. */
  bucket(pos: number): readonly T[] {
    return [...this.#buckets[pos]?.entries.values() ?? []];
  }

  /** Returns the hash of the whole map. */
  rootHash(): string {
    return encode(this.#fold(0, BUCKET_COUNT));
  }

  /** Returns the hashes of all groups, or of the buckets of one group. */
  hashes(group?: number): string[] {
    const hashes: string[] = [];
    for (let pos = 0; pos < FANOUT; pos++) {
      const hash = group === undefined
        ? this.#fold(pos * FANOUT, (pos + 1) * FANOUT)
        : this.#buckets[group * FANOUT + pos]?.hash ?? 0;
      hashes.push(encode(hash));
    }
    return hashes;
  }

  /** Returns the positions at which the hashes of another replica differ. */
  differing(hashes: readonly string[], group?: number): number[] {
    const own = this.hashes(group);
    return own.flatMap((hash, pos) => hash === hashes[pos] ? [] : [pos]);
  }

  #digestOf(entry: T | undefined): number {
    return entry === undefined ? 0 : this.#digest(entry);
  }

  #fold(start: number, end: number): number {
    let folded = 0;
    for (let pos = start; pos < end; pos++) {
      const bucket = this.#buckets[pos];
      if (bucket !== undefined && bucket.hash !== 0) {
        folded ^= hash.mix(bucket.hash, pos);
      }
    }
    return folded;
  }
}

/** Returns the bucket of an id. */
export function bucketOf(id: string): number {
  return hash.text(id) % BUCKET_COUNT;
}

function encode(hash: number): string {
  return (hash >>> 0).toString(36);
}
