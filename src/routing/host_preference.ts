/** Preference among hosts for work that one of them does for the whole fleet,
 * such as scheduling the endpoints of a partition. All who need such work wait
 * for its host, so it goes to hosts with much processor capacity first.
 * @module */

import * as rendezvous from "./rendezvous.ts";

/** Part of the largest capacity from which a host counts as capable: hosts that
 * are alike share the work evenly. */
const MIN_CAPACITY_RATIO = 0.5;

/** A host that may do work for the fleet. */
export interface CandidateHost {
  readonly host: string;
  /** Processor capacity in cores; absent if the host announces none. */
  readonly capacity?: number;
}

/** Hosts for a key in order of preference: capable hosts, then the others, each
 * by rendezvous hashing. Capacities count only if all hosts announce one, since
 * a host of an earlier release, which announces none, ranks without them, and
 * all hosts must agree. */
export function rankHosts(
  key: string,
  hosts: readonly CandidateHost[],
): string[] {
  // NaN if a host announces none; then no capacity is below the threshold.
  const capacities = hosts.map(({ capacity = NaN }) => capacity);
  const threshold = MIN_CAPACITY_RATIO * Math.max(...capacities);
  const incapable = new Set(
    hosts.filter(({ capacity = 0 }) => capacity < threshold)
      .map(({ host }) => host),
  );
  const ranked = rendezvous.rank(key, hosts.map(({ host }) => host));
  return [
    ...ranked.filter((host) => !incapable.has(host)),
    ...ranked.filter((host) => incapable.has(host)),
  ];
}
