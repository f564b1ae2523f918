/** Assigns partitions to hosts: each partition is owned by the first host in
 * its ranking that owns no other partition, so that no host owns two partitions
 * while another owns none. Hosts that know the same hosts and partitions agree.
 * @module */

import * as hostPreference from "../routing/host_preference.ts";

/** Hosts for a partition in order of preference, its owner first; empty without
 * hosts. `partitions` are all partitions that share the hosts. */
export function candidatesFor(
  partition: string,
  { partitions, hosts }: {
    partitions: readonly string[];
    hosts: readonly hostPreference.CandidateHost[];
  },
): string[] {
  const names = hosts.map(({ host }) => host);
  let available = new Set(names);
  for (const each of [...partitions].sort()) {
    if (available.size === 0) available = new Set(names);
    const ranked = hostPreference.rankHosts(each, hosts);
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
  return hostPreference.rankHosts(partition, hosts);
}
