/** What can be read of a message that can't be read whole: entries of its lists
 * that are wrong are left out, so that one of them, which another writer may
 * have made, does not cost the others.
 * @module */

import type * as check from "../schema/check.ts";

/** Entries left out of one message at the most: each costs a reading of it. */
const MOST = 64;

/** How messages of a channel are read. */
export interface DecodeOptions {
  readonly validate: check.Validator;
  /** Names of lists whose entries stand by themselves. */
  readonly lists?: readonly string[];
}

/** Takes wrong entries out of `body`, in place. Returns the lists that they
 * stood in, one name for each; undefined when it can't be read at all. */
export function decode(
  body: unknown,
  { validate, lists = [] }: DecodeOptions,
): string[] | undefined {
  const leftOut: string[] = [];
  while (!validate(body)) {
    const place = entryOf(validate.errors?.[0]?.instancePath ?? "", lists);
    const list = place && listAt(body, place.path);
    if (place === undefined || list === undefined) return undefined;
    if (leftOut.length === MOST) return undefined;
    list.splice(place.pos, 1);
    leftOut.push(place.path.at(-1)!);
  }
  return leftOut;
}

/** The entry of one of some lists that a JSON pointer leads into. */
function entryOf(
  pointer: string,
  lists: readonly string[],
): { path: string[]; pos: number } | undefined {
  const keys = pointer.split("/").slice(1);
  const at = keys.findIndex((key) => lists.includes(key));
  if (at < 0 || at + 1 >= keys.length) return undefined;
  return { path: keys.slice(0, at + 1), pos: Number(keys[at + 1]) };
}

function listAt(body: unknown, path: readonly string[]): unknown[] | undefined {
  const found = path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    body,
  );
  return Array.isArray(found) ? found : undefined;
}
