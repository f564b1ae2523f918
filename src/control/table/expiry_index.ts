/** Finds what has expired without looking at everything: keys wait in buckets
 * of one second. A key may wait in several; its owner checks its own time.
 * @module */

import * as trie from "./trie.ts";

const BUCKET = 1000;

interface Link {
  key: string;
  next: Link | undefined;
}

/** What fell due, and the rest. */
export interface SweepResult {
  expiry: ExpiryIndex;
  keys: readonly string[];
}

/** Immutable set of keys by the time at which they expire. */
export class ExpiryIndex {
  readonly #buckets: trie.Trie<Link>;
  /** First bucket that was not emptied yet. */
  readonly #head: number;

  private constructor(buckets: trie.Trie<Link>, head: number) {
    this.#buckets = buckets;
    this.#head = head;
  }

  /** An empty set for keys that expire after `now`. */
  static create(now: number): ExpiryIndex {
    return new ExpiryIndex(trie.Trie.create<Link>(), Math.floor(now / BUCKET));
  }

  /** A copy in which `key` also falls due once `at` has passed. */
  add(key: string, at: number): ExpiryIndex {
    const bucket = Math.max(this.#head, Math.floor(at / BUCKET));
    const next = this.#buckets.get(`${bucket}`);
    return new ExpiryIndex(
      this.#buckets.set(`${bucket}`, { key, next }),
      this.#head,
    );
  }

  /** Takes out keys whose second has wholly passed at `now`. What is left
   * depends on the keys and on `now` alone, not on earlier sweeps. */
  sweep(now: number): SweepResult {
    const end = Math.floor(now / BUCKET);
    if (end <= this.#head) return { expiry: this, keys: [] };
    const keys: string[] = [];
    let buckets = this.#buckets;
    for (const bucket of this.#due(end)) {
      let link = buckets.get(bucket);
      if (link !== undefined) buckets = buckets.delete(bucket);
      for (; link !== undefined; link = link.next) keys.push(link.key);
    }
    return { expiry: new ExpiryIndex(buckets, end), keys };
  }

  /** Names of buckets before `end`, by the shorter way after a long gap. */
  #due(end: number): string[] {
    const gap = end - this.#head;
    if (gap <= this.#buckets.size) {
      return Array.from({ length: gap }, (_, pos) => `${this.#head + pos}`);
    }
    return [...this.#buckets.entries()].map(([bucket]) => bucket)
      .filter((bucket) => Number(bucket) < end);
  }
}

/** Whether what expires at `at` is swept at `now`. */
export function isSwept(at: number, now: number): boolean {
  return Math.floor(at / BUCKET) < Math.floor(now / BUCKET);
}
