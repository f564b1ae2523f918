/** Compact encoding of an update that changes only the status of a member,
 * which keeps gossip small when many hosts fail or come back at once.
 * @module */

import * as hash from "./hash.ts";
import * as member from "./member.ts";

const RADIX = 36;
const STATUS_LETTERS = { alive: "a", suspect: "s" } as const;
type Status = keyof typeof STATUS_LETTERS;

/** Whether the compact encoding is enough for hosts that know `known`. */
export function canEncode(
  known: member.Member | undefined,
  update: member.Member,
): boolean {
  return known !== undefined && member.isLive(update) &&
    known.incarnation === update.incarnation &&
    contentHash(known) === contentHash(update);
}

/** Encodes the id, status, incarnation, sequence, and a hash of the rest. */
export function encode(update: member.Member): string {
  const { id, status, incarnation, sequence } = update;
  const letter = STATUS_LETTERS[status as Status];
  return [
    id,
    letter,
    incarnation.toString(RADIX),
    sequence.toString(RADIX),
    contentHash(update),
  ].join(" ");
}

/** Returns the whole member; undefined if the rest of it is not known here. */
export function decode(
  members: member.Members,
  text: string,
): member.Member | undefined {
  const [id, letter, incarnation, sequence, content] = text.split(" ");
  const known = members.get(id);
  if (known === undefined || contentHash(known) !== content) return undefined;
  if (known.incarnation.toString(RADIX) !== incarnation) return undefined;
  const statuses = Object.keys(STATUS_LETTERS) as Status[];
  const status = statuses.find((status) => STATUS_LETTERS[status] === letter);
  const number = parseInt(sequence, RADIX);
  if (status === undefined || !Number.isSafeInteger(number)) return undefined;
  return { ...known, status, sequence: number };
}

function contentHash(update: member.Member): string {
  const { dataCentre, region, address, port, drain } = update;
  const text = JSON.stringify([dataCentre, region, address, port, drain]);
  return hash.text(text).toString(RADIX);
}
