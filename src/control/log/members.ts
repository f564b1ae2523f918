/** Sets of voters and learners, and their changes by one member at a time.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import * as replicaId from "./replica_id.ts";

/** A set of members, and the index of the entry that contains it. */
export interface Configuration {
  readonly index: number;
  readonly members: schema.Members;
}

/** Empty set, used until a replica has received one. */
export const NONE: schema.Members = { voters: [], learners: [] };

/** Returns the size of a majority of `voters`. */
export function majority(voters: readonly unknown[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Returns the greatest value that a majority of the voters has reached;
 * `-Infinity` without voters. */
export function majorityValue(
  voters: readonly string[],
  value: (id: string) => number,
): number {
  if (voters.length === 0) return -Infinity;
  const values = voters.map(value).sort((a, b) => b - a);
  return values[majority(voters) - 1];
}

/** Returns the ids of all voters and learners. */
export function all(members: schema.Members): string[] {
  return [...members.voters, ...members.learners];
}

/** Whether `id` is a voter or a learner. */
export function has(members: schema.Members, id: string): boolean {
  return members.voters.includes(id) || members.learners.includes(id);
}

/** Adds a learner, replacing any other learner of its host. */
export function withLearner(
  members: schema.Members,
  id: string,
): schema.Members {
  const host = replicaId.host(id);
  const others = members.learners.filter((other) =>
    replicaId.host(other) !== host
  );
  return { ...members, learners: [...others, id] };
}

/** Promotes a learner to voter. */
export function withVoter(
  members: schema.Members,
  id: string,
): schema.Members {
  return {
    voters: [...members.voters, id],
    learners: members.learners.filter((other) => other !== id),
  };
}

/** Removes a member. */
export function without(members: schema.Members, id: string): schema.Members {
  return {
    voters: members.voters.filter((other) => other !== id),
    learners: members.learners.filter((other) => other !== id),
  };
}
