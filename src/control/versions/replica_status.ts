/** What a host knows of the log's leader and majority, in one line: enough to
 * tell, from this host alone, a replica that is no member from an election
 * that takes long, a leader that is gone and a majority that is lost.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";
import * as log from "../log/mod.ts";

/** A replica as its host sees it. */
export interface ReplicaStatus extends Part {
  readonly isMember: boolean;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Leader that members tell of. */
  readonly toldLeader?: string;
  /** Hosts that a replica which is no member asks to be taken in. */
  readonly asks: readonly string[];
  /** Milliseconds since a replica of each host was heard. */
  readonly heardMs: Readonly<Record<string, number>>;
  /** Characters of a snapshot under way that are here. */
  readonly arrived?: number;
}

/** What a dump of a replica says that is told here too. */
type Part = Pick<
  log.Dump,
  "id" | "role" | "term" | "leader" | "commit" | "last"
>;

/** What its host knows beside a replica. */
export interface HostView {
  /** When each host was heard. */
  readonly heard: ReadonlyMap<string, number>;
  readonly told?: schema.Leadership;
  readonly now: number;
}

/** Describes a replica. */
export function statusOf(
  replica: log.Replica,
  { heard, told, now }: HostView,
): ReplicaStatus {
  const { members, ...dump } = log.dump(replica, now);
  const { id, role, term, leader, commit, last } = dump;
  const ages = [...heard].map(([host, at]) => [host, Math.round(now - at)]);
  return {
    id,
    role,
    term,
    leader,
    isMember: log.members.has(members, id),
    ...members,
    toldLeader: told?.leader,
    asks: replica.probeTargets,
    heardMs: Object.fromEntries(ages),
    commit,
    last,
    arrived: replica.state.incomingSnapshot?.offset,
  };
}
