/** Short form of an expiry: most of what spreads when the endpoints of a data
 * centre are lost at once.
 * @module */

import * as membership from "../membership/mod.ts";
import * as entries from "./entry.ts";

const RADIX = 36;

/** Id, hash of the version, and the host that let the lease run out. */
export function encode(entry: entries.Entry): string {
  return [entry.id, versionOf(entry), entry.expired].join(" ");
}

/** The whole entry; undefined where that version is not known here. */
export function decode(
  known: entries.Entries,
  text: string,
): entries.Entry | undefined {
  const [id, version, expired] = text.split(" ");
  const entry = known.get(id);
  if (entry === undefined || entry.phase === "left") return undefined;
  return versionOf(entry) === version ? { ...entry, expired } : undefined;
}

function versionOf(entry: entries.Entry): string {
  const { generation, phase, sequence } = entry;
  const text = JSON.stringify([generation, phase, sequence]);
  return membership.hash.text(text).toString(RADIX);
}
