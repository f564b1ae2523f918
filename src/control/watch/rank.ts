/** Spreads watchers over publishers by rendezvous hashing, so that each host
 * knows its publishers in order without asking anybody.
 * @module */

import * as table from "../table/mod.ts";

/** `publishers` in the order in which `host` should try them. */
export function rank(host: string, publishers: readonly string[]): string[] {
  const scores = new Map(
    publishers.map((id) => [id, mix(table.hashOf(`${host}/${id}`))]),
  );
  return publishers.filter((id) => id !== host).toSorted((a, b) =>
    scores.get(b)! - scores.get(a)! || (a < b ? -1 : 1)
  );
}

/** Final mixing of MurmurHash3; FNV alone leaves close names close. */
function mix(hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
