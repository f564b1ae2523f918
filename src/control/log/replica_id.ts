/** Replica ids: a host, and the incarnation of its data folder.
 * @module */

import type * as schema from "../../schema/log_types.ts";

const SEPARATOR = "~";

/** Creates the id of a host's replica in one data folder. */
export function create(
  host: string,
  incarnation: string,
): schema.ReplicaId {
  return `${host}${SEPARATOR}${incarnation}`;
}

/** Returns the host of a replica. */
export function host(id: schema.ReplicaId): string {
  return id.slice(0, id.lastIndexOf(SEPARATOR));
}

/** Returns the incarnation of a replica's data folder. */
export function incarnation(id: schema.ReplicaId): string {
  return id.slice(id.lastIndexOf(SEPARATOR) + 1);
}
