/** Which host batches for which cell: the first that rendezvous hashing names
 * and that no other cell has, so that no host batches for two while another
 * batches for none. All hosts that know the same agree.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";

/** Hosts for a cell, the one that batches for it first; empty without hosts.
 * `cells` are all that share the hosts. */
export function candidatesFor(
  cell: string,
  { cells, hosts }: { cells: readonly string[]; hosts: readonly string[] },
): string[] {
  let free = new Set(hosts);
  for (const each of [...cells].sort()) {
    if (free.size === 0) free = new Set(hosts);
    const ranked = rendezvous.rank(each, hosts);
    const first = ranked.find((host) => free.has(host));
    if (first === undefined) return [];
    if (each === cell) return [first, ...ranked.filter((it) => it !== first)];
    free.delete(first);
  }
  return rendezvous.rank(cell, hosts);
}
