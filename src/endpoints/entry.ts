/** Registry entries, and the order in which one version of an entry supersedes
 * another.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";

/** One version of what is known about an endpoint. */
export type Entry = schema.RegistryEntry;

/** An entry whose endpoint accepts calls or, while draining, finishes them. */
export type ServingEntry = Entry & { endpoint: schema.Endpoint };

/** The entries known to one host, including tombstones of endpoints that left
 * or expired. */
export type Entries = membership.DigestMap<Entry>;

/** Rank of each phase; an endpoint goes through them in this order. */
export const PHASE_ORDER: Record<schema.Phase, number> = {
  ready: 0,
  draining: 1,
  left: 2,
};

/** Whether the lease is valid and the endpoint has not left. */
export function isServing(entry: Entry): entry is ServingEntry {
  return entry.phase !== "left" && entry.expired === undefined;
}

/** Above 0 if `left` supersedes `right`. The higher generation wins, then the
 * later phase, then the higher sequence number. At equal versions an expiry
 * wins; concurrent versions with different content are ordered by that
 * content, so that all hosts choose the same one. */
export function compare(left: Entry, right: Entry): number {
  return left.generation - right.generation ||
    PHASE_ORDER[left.phase] - PHASE_ORDER[right.phase] ||
    left.sequence - right.sequence ||
    Number(left.expired !== undefined) - Number(right.expired !== undefined) ||
    compareContent(left, right);
}

function compareContent(left: Entry, right: Entry): number {
  // Expired entries and tombstones carry no content.
  if (!isServing(left) || !isServing(right)) return 0;
  if (left.endpoint === right.endpoint) return 0;
  const texts = [contentKey(left), contentKey(right)];
  if (texts[0] === texts[1]) return 0;
  return texts[0] < texts[1] ? -1 : 1;
}

/** Serializes the content of an entry; equal for equal content. */
export function contentKey({ declared, endpoint }: Entry): string {
  return JSON.stringify([declared, endpoint]);
}

/** Returns an empty map. Its hashes cover serving entries only, so that hosts
 * which discarded a tombstone at different times still have equal hashes. */
export function createMap(): Entries {
  return membership.DigestMap.create<Entry>((entry) => {
    if (!isServing(entry)) return 0;
    const { generation, sequence, phase } = entry;
    const { mix, text } = membership.hash;
    const version = mix(mix(generation, sequence), PHASE_ORDER[phase]);
    return mix(mix(text(entry.id), version), text(contentKey(entry)));
  });
}
