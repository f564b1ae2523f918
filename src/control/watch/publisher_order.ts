/** Spreads watchers over publishers by rendezvous hashing, so that each host
 * knows its publishers in order without asking anybody.
 * @module */

import * as table from "../table/mod.ts";

/** `publishers` in the order in which `host` should try them. */
export function rankPublishers(
  host: string,
  publishers: readonly string[],
): string[] {
  const scores = new Map(
    publishers.map((id) => [id, mix(table.hashOf(`${host}/${id}`))]),
  );
  return publishers.filter((id) => id !== host).toSorted((a, b) =>
    scores.get(b)! - scores.get(a)! || (a < b ? -1 : 1)
  );
}

/** Observers that a host tries before it turns to a voter. */
const FIRST_OBSERVERS = 2;

/** Whom `self` watches, in the order in which it tries them: itself if it
 * votes, else observers. Voters follow early, so that a host that finds no
 * observer is not long without news, and before the rest of the observers. */
export function publisherOrder(
  self: string,
  { voters, observers }: Publishers,
): string[] {
  const ranked = rankPublishers(self, voters);
  if (voters.includes(self)) return [self, ...ranked];
  if (observers.includes(self)) return ranked;
  const relays = rankPublishers(self, observers);
  const first = relays.slice(0, FIRST_OBSERVERS);
  return [...first, ...ranked, ...relays.slice(FIRST_OBSERVERS)];
}

/** Hosts that publish the table. */
export interface Publishers {
  voters: readonly string[];
  /** Hosts that watch voters and serve others. */
  observers: readonly string[];
}

/** Final mixing of MurmurHash3; FNV alone leaves close names close. */
function mix(hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
