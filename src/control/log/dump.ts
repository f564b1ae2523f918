/** Summary of a replica for state dumps.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as lease from "./lease.ts";
import type * as replicas from "./replica.ts";
import type * as state from "./state.ts";

/** Summary of a replica. */
export interface Dump {
  readonly id: schema.ReplicaId;
  readonly role: state.Role;
  readonly term: number;
  readonly leader?: string;
  readonly members: schema.Members;
  readonly commit: number;
  readonly last: number;
  /** Index of the last snapshot; 0 without one. */
  readonly snapshot: number;
  /** Milliseconds until the lease expires; 0 without one. */
  readonly lease: number;
  /** Last durable index of each other member; only on the leader. */
  readonly matches: Readonly<Record<string, number>>;
}

/** Summarizes a replica. */
export function dump(replica: replicas.Replica, now: number): Dump {
  const { state, members } = replica;
  const { id, role, term, leader, commit, log, snapshot, progress } = state;
  const left = Math.max(0, lease.expiry(state) - now);
  return {
    id,
    role,
    term,
    leader,
    members,
    commit,
    last: log.last.index,
    snapshot: snapshot?.position.index ?? 0,
    lease: Number.isFinite(left) ? Math.round(left) : Number.MAX_SAFE_INTEGER,
    matches: Object.fromEntries(
      Object.entries(progress).map(([other, { match }]) => [other, match]),
    ),
  };
}
