/** Consistent hashing: a name keeps its place while members come and go.
 * @module */

import * as hash from "./hash.ts";

/** Points of each member; evenness matters little, load is bounded. */
const POINTS = 4;

/** Ring of members; changed in place. */
export class HashRing {
  /** Places of the points in order, apart from the ids, so that a search
   * reads one block of numbers. */
  #places: number[] = [];
  #ids: string[] = [];

  /** A ring without members. */
  static create(): HashRing {
    return new HashRing();
  }

  /** Adds a member. */
  add(id: string): void {
    for (let seed = 0; seed < POINTS; seed++) {
      const place = hash.ofString(id, seed);
      const pos = this.#find(place);
      this.#places.splice(pos, 0, place);
      this.#ids.splice(pos, 0, id);
    }
  }

  /** Removes a member. */
  remove(id: string): void {
    for (let seed = 0; seed < POINTS; seed++) {
      this.#drop(id, hash.ofString(id, seed));
    }
  }

  /** Member that a name belongs to. */
  lookup(name: string): string | undefined {
    if (this.#ids.length === 0) return undefined;
    const pos = this.#find(hash.ofString(name));
    return this.#ids[pos % this.#ids.length];
  }

  #drop(id: string, place: number): void {
    let pos = this.#find(place);
    while (this.#places[pos] === place && this.#ids[pos] !== id) pos++;
    if (this.#places[pos] !== place) return;
    this.#places.splice(pos, 1);
    this.#ids.splice(pos, 1);
  }

  /** Position of the first point at or after `place`. */
  #find(place: number): number {
    let low = 0;
    let high = this.#places.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#places[middle] < place) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
