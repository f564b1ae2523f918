/** What a host knows of the log's leader and majority, in one line: enough to
 * tell, from this host alone, a replica that is no member from an election
 * that takes long, a leader that is gone and a majority that is lost.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as log from "../log/mod.ts";

/** A replica as its host sees it. */
export interface Standing {
  readonly id: schema.ReplicaId;
  readonly role: log.Role;
  readonly term: number;
  readonly leader?: string;
  readonly isMember: boolean;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Hosts that a replica which is no member asks to be taken in. */
  readonly asks: readonly string[];
  /** Milliseconds since a replica of each host was heard. */
  readonly heardMs: Readonly<Record<string, number>>;
  readonly commit: number;
  readonly last: number;
  /** Characters of a snapshot under way that are here. */
  readonly arrived?: number;
}

/** Describes a replica; `heard` holds when each host was heard. */
export function standingOf(
  replica: log.Replica,
  { heard, now }: { heard: ReadonlyMap<string, number>; now: number },
): Standing {
  const { id, members, state } = replica;
  const ages = [...heard].map(([host, at]) => [host, Math.round(now - at)]);
  return {
    id,
    role: state.role,
    term: state.term,
    leader: state.leader,
    isMember: log.members.has(members, id),
    voters: members.voters,
    learners: members.learners,
    asks: [...new Set([...state.hosts, ...state.contacts])],
    heardMs: Object.fromEntries(ages),
    commit: state.commit,
    last: state.log.last.index,
    arrived: state.arrival?.offset,
  };
}
