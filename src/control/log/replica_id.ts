/** Names of replicas: a host, and the incarnation of its data folder.
 * @module */

import type * as schema from "../../schema/log_types.ts";

const SEPARATOR = "~";

/** Names the replica that keeps its log in one folder of one host. */
export function create(
  host: string,
  incarnation: string,
): schema.ReplicaId {
  return `${host}${SEPARATOR}${incarnation}`;
}

/** The host of a replica. */
export function host(id: schema.ReplicaId): string {
  return id.slice(0, id.lastIndexOf(SEPARATOR));
}

/** The incarnation of a replica's folder. */
export function incarnation(id: schema.ReplicaId): string {
  return id.slice(id.lastIndexOf(SEPARATOR) + 1);
}
