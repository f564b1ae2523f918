/** Distributes watchers over publishers by rendezvous hashing, so that each host
 * computes its order of publishers without coordination.
 * @module */

import * as table from "../table/mod.ts";

/** Returns `publishers` without `host`, in the order in which `host` tries
 * them. */
export function rankPublishers(
  host: string,
  publishers: readonly string[],
): string[] {
  const scores = new Map(
    publishers.map((id) => [id, mixHash(table.hashOf(`${host}/${id}`))]),
  );
  return publishers.filter((id) => id !== host).toSorted((a, b) =>
    scores.get(b)! - scores.get(a)! || (a < b ? -1 : 1)
  );
}

/** Number of observers that a host tries before the voters. */
const PREFERRED_OBSERVER_COUNT = 2;

/** Returns the publishers of `self`, in the order in which it tries them. A
 * voter watches itself first, an observer the voters, and any other host two
 * observers. The voters come before the remaining observers, so that a host
 * without a working observer soon gets updates again. */
export function publisherOrder(
  self: string,
  { voters, observers }: Publishers,
): string[] {
  const rankedVoters = rankPublishers(self, voters);
  if (voters.includes(self)) return [self, ...rankedVoters];
  if (observers.includes(self)) return rankedVoters;
  const rankedObservers = rankPublishers(self, observers);
  const preferred = rankedObservers.slice(0, PREFERRED_OBSERVER_COUNT);
  return [
    ...preferred,
    ...rankedVoters,
    ...rankedObservers.slice(PREFERRED_OBSERVER_COUNT),
  ];
}

/** Hosts that publish the table. */
export interface Publishers {
  voters: readonly string[];
  /** Hosts that watch voters and publish the table to other hosts. */
  observers: readonly string[];
}

/** Finalizer of MurmurHash3: FNV alone gives similar hashes to similar names. */
function mixHash(hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
