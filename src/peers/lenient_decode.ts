/** Validation that tolerates invalid list entries: they are removed from the
 * message, so that one bad entry, possibly written by another implementation,
 * does not invalidate the rest of the message.
 * @module */

import type * as check from "../schema/check.ts";

/** Maximum number of entries removed from one message, since the message is
 * validated again after each. */
const MAX_REMOVED_ENTRIES = 64;

/** How messages of a channel are validated. */
export interface DecodeOptions {
  readonly validate: check.Validator;
  /** Names of lists whose entries are independent of each other. */
  readonly lists?: readonly string[];
}

/** Removes invalid entries from `body` in place. Returns the name of the list
 * for each removed entry; undefined if the message is invalid otherwise. */
export function decode(
  body: unknown,
  { validate, lists = [] }: DecodeOptions,
): string[] | undefined {
  const removed: string[] = [];
  while (!validate(body)) {
    const location = locateEntry(
      validate.errors?.[0]?.instancePath ?? "",
      lists,
    );
    const list = location && listAt(body, location.path);
    if (location === undefined || list === undefined) return undefined;
    if (removed.length === MAX_REMOVED_ENTRIES) return undefined;
    list.splice(location.pos, 1);
    removed.push(location.path.at(-1)!);
  }
  return removed;
}

/** Locates the list entry that a JSON pointer leads into. */
function locateEntry(
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
