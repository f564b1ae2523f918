/** What a host knows of an endpoint, and which of two statements is newer.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";

export type Entry = schema.RegistryEntry;

/** An entry whose endpoint may get calls, or finishes them. */
export type ServingEntry = Entry & { endpoint: schema.Endpoint };

/** All that one host knows of endpoints, those that left included. */
export type Entries = membership.DigestMap<Entry>;

/** Phases in the order in which an endpoint goes through them. */
export const PHASE_ORDER: Record<schema.Phase, number> = {
  ready: 0,
  draining: 1,
  left: 2,
};

/** Whether the lease runs and the endpoint has not left. */
export function isServing(entry: Entry): entry is ServingEntry {
  return entry.phase !== "left" && entry.expired === undefined;
}

/** Above 0 when `left` replaces `right`. A later run wins, then a later phase
 * of the run, then a later change; at equal versions an expiry wins, and of
 * two contents that were stated at once the one that sorts later. */
export function compare(left: Entry, right: Entry): number {
  return left.generation - right.generation ||
    PHASE_ORDER[left.phase] - PHASE_ORDER[right.phase] ||
    left.sequence - right.sequence ||
    Number(left.expired !== undefined) - Number(right.expired !== undefined) ||
    compareContent(left, right);
}

function compareContent(left: Entry, right: Entry): number {
  // An expiry and a departure carry no content to differ in.
  if (!isServing(left) || !isServing(right)) return 0;
  if (left.endpoint === right.endpoint) return 0;
  const texts = [contentKey(left), contentKey(right)];
  if (texts[0] === texts[1]) return 0;
  return texts[0] < texts[1] ? -1 : 1;
}

/** Text that is equal for equal content. */
export function contentKey({ declared, endpoint }: Entry): string {
  return JSON.stringify([declared, endpoint]);
}

/** An empty map whose hashes cover serving entries only, so that hosts which
 * forgot an endpoint at different times still agree. */
export function createMap(): Entries {
  return membership.DigestMap.create<Entry>((entry) => {
    if (!isServing(entry)) return 0;
    const { generation, sequence, phase } = entry;
    const { mix, text } = membership.hash;
    const version = mix(mix(generation, sequence), PHASE_ORDER[phase]);
    return mix(mix(text(entry.id), version), text(contentKey(entry)));
  });
}
