/** Limits the size of a batch of entries, by their cached JSON length.
 * @module */

import type * as schema from "../../schema/log_types.ts";

const sizes = new WeakMap<schema.Entry, number>();

/** Returns the longest prefix of `entries` of at most `most` characters in
 * total, but at least one entry, so that an oversized entry is still sent. */
export function limitSize(
  entries: readonly schema.Entry[],
  most: number,
): schema.Entry[] {
  let sum = 0;
  const end = entries.findIndex((entry, pos) => {
    sum += measure(entry);
    return sum > most && pos > 0;
  });
  return entries.slice(0, end < 0 ? entries.length : end);
}

function measure(entry: schema.Entry): number {
  const known = sizes.get(entry);
  if (known !== undefined) return known;
  const size = JSON.stringify(entry).length;
  sizes.set(entry, size);
  return size;
}
