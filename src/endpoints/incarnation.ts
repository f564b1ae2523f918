/** Incarnations of endpoints. Each start of an endpoint is a new incarnation,
 * even under the same id; what is known about one does not apply to another.
 * @module */

/** Identity of one run of an endpoint. */
export interface Incarnation {
  /** Id that the endpoint chose; stable across restarts. */
  readonly id: string;
  /** Start time in Unix milliseconds; absent if the endpoint does not state
   * it. */
  readonly born?: number;
}

/** Above 0 if `one` started after `other`, below 0 if before. An incarnation
 * without a start time sorts before those with one. */
export function compare(
  one: Pick<Incarnation, "born">,
  other: Pick<Incarnation, "born">,
): number {
  return (one.born ?? -1) - (other.born ?? -1);
}

/** Returns a unique key of an incarnation, under which a host stores its
 * observations of the endpoint. */
export function keyOf({ id, born }: Incarnation): string {
  return born === undefined ? id : `${id}~${born}`;
}

/** Extracts the id from a key that contains a start time. */
export function idOf(key: string): string {
  return key.slice(0, key.lastIndexOf("~"));
}
