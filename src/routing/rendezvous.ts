/** Rendezvous hashing: which of some candidates a key belongs to, the same on
 * all hosts, and moved only when its candidate is gone.
 * @module */

import * as hash from "./hash.ts";

/** Weight of a candidate for a key. */
export function weight(key: string, candidate: string): number {
  return hash.combine(hash.ofString(candidate), hash.ofString(key));
}

/** Candidates in the order in which they stand for a key. */
export function rank(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: weight(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
