/** Consistent hashing: a name keeps its place while members come and go.
 * @module */

import * as hash from "./hash.ts";

/** Points of each member; evenness matters little, load is bounded. */
const POINTS = 4;

interface Point {
  at: number;
  id: string;
}

/** Ring of members; changed in place. */
export class Ring {
  #points: Point[] = [];

  /** A ring without members. */
  static create(): Ring {
    return new Ring();
  }

  /** Adds a member. */
  add(id: string): void {
    for (let seed = 0; seed < POINTS; seed++) {
      const at = hash.text(id, seed);
      this.#points.splice(this.#find(at), 0, { at, id });
    }
  }

  /** Removes a member. */
  remove(id: string): void {
    for (let seed = 0; seed < POINTS; seed++) this.#drop(id, seed);
  }

  /** Member that a name belongs to. */
  member(name: string): string | undefined {
    if (this.#points.length === 0) return undefined;
    const pos = this.#find(hash.text(name));
    return this.#points[pos % this.#points.length].id;
  }

  #drop(id: string, seed: number): void {
    const at = hash.text(id, seed);
    let pos = this.#find(at);
    while (pos < this.#points.length && this.#points[pos].at === at) {
      if (this.#points[pos].id === id) {
        this.#points.splice(pos, 1);
        return;
      }
      pos++;
    }
  }

  /** Position of the first point at or after `at`. */
  #find(at: number): number {
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#points[middle].at < at) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
