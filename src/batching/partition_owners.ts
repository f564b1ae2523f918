/** Assigns partitions to hosts: each partition is owned by the first host in
 * its rendezvous ranking that owns no other partition, so that no host owns two
 * partitions while another owns none. Hosts that know the same hosts and
 * partitions agree.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";

/** Hosts for a partition in order of preference, its owner first; empty without
 * hosts. `partitions` are all partitions that share the hosts. */
export function candidatesFor(
  partition: string,
  { partitions, hosts }: {
    partitions: readonly string[];
    hosts: readonly string[];
  },
): string[] {
  let available = new Set(hosts);
  for (const each of [...partitions].sort()) {
    if (available.size === 0) available = new Set(hosts);
    const ranked = rendezvous.rank(each, hosts);
    const owner = ranked.find((host) => available.has(host));
    if (owner === undefined) return [];
    if (each === partition) {
      return [
        owner,
        ...ranked.filter((it) => it !== owner),
      ];
    }
    available.delete(owner);
  }
  return rendezvous.rank(partition, hosts);
}
