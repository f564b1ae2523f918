/** Consistent hashing: most names keep their member when members join or leave.
 * @module */

import * as hash from "./hash.ts";

/** Points of each member on the ring. A few suffice: an uneven distribution
 * matters little, since the load of each member is bounded. */
const POINTS_PER_MEMBER = 4;

/** Consistent-hash ring of members; mutated in place. */
export class HashRing {
  /** Sorted hashes of the points, apart from the ids, so that a search reads
   * one contiguous array of numbers. */
  #hashes: number[] = [];
  #ids: string[] = [];

  /** Creates a ring without members. */
  static create(): HashRing {
    return new HashRing();
  }

  /** Adds a member. */
  add(id: string): void {
    for (let seed = 0; seed < POINTS_PER_MEMBER; seed++) {
      const point = hash.ofString(id, seed);
      const pos = this.#find(point);
      this.#hashes.splice(pos, 0, point);
      this.#ids.splice(pos, 0, id);
    }
  }

  /** Removes a member. */
  remove(id: string): void {
    for (let seed = 0; seed < POINTS_PER_MEMBER; seed++) {
      this.#removePoint(id, hash.ofString(id, seed));
    }
  }

  /** Member to which a name is mapped; undefined for an empty ring. */
  lookup(name: string): string | undefined {
    if (this.#ids.length === 0) return undefined;
    const pos = this.#find(hash.ofString(name));
    return this.#ids[pos % this.#ids.length];
  }

  #removePoint(id: string, point: number): void {
    let pos = this.#find(point);
    while (this.#hashes[pos] === point && this.#ids[pos] !== id) pos++;
    if (this.#hashes[pos] !== point) return;
    this.#hashes.splice(pos, 1);
    this.#ids.splice(pos, 1);
  }

  /** Position of the first point whose hash is at least `point`. */
  #find(point: number): number {
    let low = 0;
    let high = this.#hashes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#hashes[middle] < point) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
