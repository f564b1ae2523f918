/** Incarnations of endpoints: each start is one, also under a known id. What is
 * known of one says nothing of another.
 * @module */

/** Who an endpoint is. */
export interface Incarnation {
  /** Its name for itself. */
  readonly id: string;
  /** Unix milliseconds of its start; absent where it does not say. */
  readonly born?: number;
}

/** Above 0 when `one` started after `other`, below 0 when before. One that does
 * not say counts as before any that does. */
export function compare(
  one: Pick<Incarnation, "born">,
  other: Pick<Incarnation, "born">,
): number {
  return (one.born ?? -1) - (other.born ?? -1);
}

/** Text that no other incarnation has: the key of all that a host believes of
 * an endpoint from its own calls. */
export function keyOf({ id, born }: Incarnation): string {
  return born === undefined ? id : `${id}~${born}`;
}

/** Id in a key that has a start. */
export function idOf(key: string): string {
  return key.slice(0, key.lastIndexOf("~"));
}
