/** Index of keys by expiry time, in buckets of one second, so that a sweep
 * visits due keys only. A key may be in several buckets; the caller checks
 * whether it has really expired.
 * @module */

import * as trie from "./trie.ts";

const BUCKET_MS = 1000;

interface KeyNode {
  key: string;
  next: KeyNode | undefined;
}

/** Keys that are due, and the index without them. */
export interface SweepResult {
  expiry: ExpiryIndex;
  keys: readonly string[];
}

/** Immutable index of keys by the time at which they expire. */
export class ExpiryIndex {
  readonly #buckets: trie.Trie<KeyNode>;
  /** First bucket that has not been swept. */
  readonly #firstBucket: number;

  private constructor(buckets: trie.Trie<KeyNode>, head: number) {
    this.#buckets = buckets;
    this.#firstBucket = head;
  }

  /** Creates an empty index for keys that expire after `now`. */
  static create(now: number): ExpiryIndex {
    return new ExpiryIndex(
      trie.Trie.create<KeyNode>(),
      Math.floor(now / BUCKET_MS),
    );
  }

  /** Returns a copy in which `key` is also due after `at`. */
  add(key: string, at: number): ExpiryIndex {
    const bucket = Math.max(this.#firstBucket, Math.floor(at / BUCKET_MS));
    const next = this.#buckets.get(`${bucket}`);
    return new ExpiryIndex(
      this.#buckets.set(`${bucket}`, { key, next }),
      this.#firstBucket,
    );
  }

  /** Removes the keys whose bucket ended at or before `now`. The remaining
   * index depends on the keys and on `now` only, not on earlier sweeps, so that
   * replicas agree. */
  sweep(now: number): SweepResult {
    const end = Math.floor(now / BUCKET_MS);
    if (end <= this.#firstBucket) return { expiry: this, keys: [] };
    const keys: string[] = [];
    let buckets = this.#buckets;
    for (const bucket of this.#dueBuckets(end)) {
      let node = buckets.get(bucket);
      if (node !== undefined) buckets = buckets.delete(bucket);
      for (; node !== undefined; node = node.next) keys.push(node.key);
    }
    return { expiry: new ExpiryIndex(buckets, end), keys };
  }

  /** Returns the names of the buckets before `end`. After a long gap it filters
   * the existing buckets instead of counting through the gap. */
  #dueBuckets(end: number): string[] {
    const gap = end - this.#firstBucket;
    if (gap <= this.#buckets.size) {
      return Array.from(
        { length: gap },
        (_, pos) => `${this.#firstBucket + pos}`,
      );
    }
    return [...this.#buckets.entries()].map(([bucket]) => bucket)
      .filter((bucket) => Number(bucket) < end);
  }
}

/** Whether a sweep at `now` removes a key that expires at `at`. */
export function isSwept(at: number, now: number): boolean {
  return Math.floor(at / BUCKET_MS) < Math.floor(now / BUCKET_MS);
}
