/** Compact encoding of an expiry, which keeps gossip small when all endpoints
 * of a data centre expire at once.
 * @module */

import * as membership from "../membership/mod.ts";
import * as entries from "./entry.ts";

const RADIX = 36;

/** Encodes the id, a hash of the version, and the host that declared the
 * expiry. */
export function encode(entry: entries.Entry): string {
  return [entry.id, versionHash(entry), entry.expired].join(" ");
}

/** Returns the expired entry; undefined if that version is not known here. */
export function decode(
  known: entries.Entries,
  text: string,
): entries.Entry | undefined {
  const [id, version, expired] = text.split(" ");
  const entry = known.get(id);
  if (entry === undefined || entry.phase === "left") return undefined;
  return versionHash(entry) === version ? { ...entry, expired } : undefined;
}

function versionHash(entry: entries.Entry): string {
  const { generation, phase, sequence } = entry;
  const text = JSON.stringify([generation, phase, sequence]);
  return membership.hash.text(text).toString(RADIX);
}
