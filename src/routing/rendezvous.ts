/** Rendezvous hashing: maps a key to one of several candidates. All hosts agree
 * on it, and a key moves only when its candidate is removed or a new candidate
 * ranks higher.
 * @module */

import * as hash from "./hash.ts";

/** Weight of a candidate for a key. */
export function weight(key: string, candidate: string): number {
  return hash.combine(hash.ofString(candidate), hash.ofString(key));
}

/** Candidates for a key by descending weight. */
export function rank(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: weight(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
