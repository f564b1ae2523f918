/** A host's view of the log's leader and members, for one log line: from it
 * operators can tell apart a replica that is no member, a long election, a lost
 * leader and a lost majority.
 * @module */

import type * as schema from "../../schema/fleet_types.ts";
import * as log from "../log/mod.ts";

/** Status of a replica as its host sees it. */
export interface ReplicaStatus extends DumpFields {
  readonly isMember: boolean;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Leader that other hosts report. */
  readonly toldLeader?: string;
  /** Hosts that a replica which is no member asks to add it. */
  readonly asks: readonly string[];
  /** Milliseconds since the last log message of each host. */
  readonly heardMs: Readonly<Record<string, number>>;
  /** Received characters of a snapshot that is being transferred. */
  readonly arrived?: number;
}

/** Fields taken over from the replica's dump. */
type DumpFields = Pick<
  log.Dump,
  "id" | "role" | "term" | "leader" | "commit" | "last"
>;

/** What the host knows beyond its replica. */
export interface HostView {
  /** When the last log message of each host arrived. */
  readonly lastHeardAt: ReadonlyMap<string, number>;
  readonly leaderHint?: schema.Leadership;
  readonly now: number;
}

/** Returns the status of a replica. */
export function statusOf(
  replica: log.Replica,
  { lastHeardAt: heard, leaderHint: told, now }: HostView,
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
