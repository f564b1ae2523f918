/** Short form of a statement that says nothing new of a member but whether it
 * lives: most of what spreads when many hosts fail or come back at once.
 * @module */

import * as hash from "./hash.ts";
import * as member from "./member.ts";

const RADIX = 36;
const LETTERS = { alive: "a", suspect: "s" } as const;
type Status = keyof typeof LETTERS;

/** Whether `statement` can be told in short to hosts that know `known`. */
export function canEncode(
  known: member.Member | undefined,
  statement: member.Member,
): boolean {
  return known !== undefined && member.isLive(statement) &&
    known.incarnation === statement.incarnation &&
    contentOf(known) === contentOf(statement);
}

/** Id, status, incarnation, sequence, and a hash of the rest. */
export function encode(statement: member.Member): string {
  const { id, status, incarnation, sequence } = statement;
  const letter = LETTERS[status as Status];
  return [
    id,
    letter,
    incarnation.toString(RADIX),
    sequence.toString(RADIX),
    contentOf(statement),
  ].join(" ");
}

/** The whole statement; undefined where the rest of it is not known here. */
export function decode(
  members: member.Members,
  text: string,
): member.Member | undefined {
  const [id, letter, incarnation, sequence, content] = text.split(" ");
  const known = members.get(id);
  if (known === undefined || contentOf(known) !== content) return undefined;
  if (known.incarnation.toString(RADIX) !== incarnation) return undefined;
  const statuses = Object.keys(LETTERS) as Status[];
  const status = statuses.find((status) => LETTERS[status] === letter);
  const number = parseInt(sequence, RADIX);
  if (status === undefined || !Number.isSafeInteger(number)) return undefined;
  return { ...known, status, sequence: number };
}

function contentOf(statement: member.Member): string {
  const { dataCentre, region, address, port, drain } = statement;
  const text = JSON.stringify([dataCentre, region, address, port, drain]);
  return hash.text(text).toString(RADIX);
}
