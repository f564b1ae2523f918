/** Merges received entries into the state of the registry.
 * @module */

import * as membership from "../membership/mod.ts";
import * as entries from "./entry.ts";
import * as compactExpiry from "./compact_expiry.ts";
import * as states from "./state.ts";

/** Merges entries received from host `from`. */
export function mergeAll(
  step: states.Step,
  received: readonly entries.Entry[],
  from: string,
): void {
  for (const entry of received) merge(step, entry, from);
}

/** Merges compactly encoded expiries received from host `from`. One for an
 * unknown version is skipped and picked up by a later replica comparison. */
export function mergeExpiries(
  step: states.Step,
  texts: readonly string[],
  from: string,
): void {
  for (const text of texts) {
    const entry = compactExpiry.decode(step.state.entries, text);
    if (entry !== undefined) merge(step, entry, from);
  }
}

function merge(step: states.Step, entry: entries.Entry, from: string): void {
  const known = step.state.entries.get(entry.id);
  if (known === undefined && !shouldStore(step, entry)) return;
  const newer = known && entries.compare(entry, known);
  if (newer === 0) markKnown(step, entry.id, from);
  if (newer !== undefined && newer <= 0) return;
  if (entry.expired === undefined) return replace(step, entry, from);
  if (known === undefined) return;
  mergeExpiry(step, { known, entry, from });
}

function markKnown(step: states.Step, id: string, from: string): void {
  const gossipQueue = membership.gossipQueue.markKnown(
    step.state.gossipQueue,
    id,
    from,
  );
  step.state = { ...step.state, gossipQueue };
}

/** Whether an entry for an unknown endpoint is stored. Old tombstones are not,
 * or hosts would pass them back to each other for ever. */
function shouldStore(step: states.Step, entry: entries.Entry): boolean {
  if (entry.phase !== "left") return entry.expired === undefined;
  return (entry.age ?? 0) < states.TOMBSTONE_RETENTION_MS &&
    step.state.notReadySince.size < states.MAX_TOMBSTONES;
}

/** Merges an expiry. Only the lease holder may declare one: a host on the other
 * side of a network partition does not see the renewals. */
function mergeExpiry(
  step: states.Step,
  { known, entry, from }: {
    known: entries.Entry;
    entry: entries.Entry;
    from: string;
  },
): void {
  const { state } = step;
  const holder = holderOf(state, known);
  if (holder === entry.expired || holder === from) {
    return replace(step, { ...entry, endpoint: known.endpoint }, from);
  }
  if (state.leases.has(entry.id)) {
    const sequence = entry.sequence + 1;
    return replace(step, { ...known, sequence }, state.options.host);
  }
  if (holder !== undefined) confirmExpiry(step, holder, entry);
}

/** Makes the lease holder confirm or refute an expiry that another host
 * declared. */
function confirmExpiry(
  { effects }: states.Step,
  to: string,
  entry: entries.Entry,
): void {
  effects.push(
    { type: "send", to, body: { type: "news", news: [entry] } },
    { type: "send", to, body: { type: "want", ids: [entry.id] } },
  );
}

/** Returns the lease holder of an endpoint according to this host's view of
 * the members. */
export function holderOf(
  { leaseHolders }: states.State,
  { id, endpoint }: entries.Entry,
): string | undefined {
  return endpoint && leaseHolders.of(id, endpoint.dataCentre);
}

/** Replaces the entry of an endpoint, reports the change and queues it for
 * gossip. */
export function replace(
  step: states.Step,
  entry: entries.Entry,
  from: string,
): void {
  const { state, now } = step;
  const known = state.entries.get(entry.id);
  const { age, ...stored } = entry;
  const notReadySince = new Map(state.notReadySince);
  notReadySince.delete(entry.id);
  if (entry.phase !== "ready" || entry.expired !== undefined) {
    notReadySince.set(entry.id, now - (age ?? 0));
  }
  const update = { id: entry.id, entry: stored };
  const gossipQueue = membership.gossipQueue.enqueue(
    state.gossipQueue,
    update,
    from,
  );
  step.state = {
    ...state,
    entries: state.entries.set(stored),
    notReadySince,
    gossipQueue,
    nextGossip: Math.min(state.nextGossip, now + states.UPDATE_DELAY_MS),
    changedAt: now,
  };
  updateLease(step, stored);
  notify(step, known, stored);
}

/** Takes or releases the lease of an endpoint, depending on whether this host
 * is the holder. A lease taken over gets a grace period. */
export function updateLease(step: states.Step, entry: entries.Entry): void {
  const { state } = step;
  const isHolder = entries.isServing(entry) &&
    holderOf(state, entry) === state.options.host;
  if (isHolder === state.leases.has(entry.id)) return;
  if (isHolder) return startLease(step, entry.id, states.TAKEOVER_GRACE_MS);
  const leases = new Map(state.leases);
  leases.delete(entry.id);
  step.state = { ...state, leases };
}

/** Starts or renews the lease of an endpoint. */
export function startLease(step: states.Step, id: string, grace = 0): void {
  const { state, now } = step;
  const end = now + states.leaseDuration(state) + states.FORWARD_SLACK_MS +
    grace;
  const leases = new Map(state.leases).set(id, end);
  const nextExpiry = Math.min(state.nextExpiry, end);
  step.state = { ...state, leases, nextExpiry };
}

function notify(
  step: states.Step,
  known: entries.Entry | undefined,
  entry: entries.Entry,
): void {
  const change = changeOf(known, entry);
  if (change !== undefined) step.effects.push({ type: "notify", change });
}

function changeOf(
  known: entries.Entry | undefined,
  entry: entries.Entry,
): states.Change | undefined {
  const wasServing = known !== undefined && entries.isServing(known);
  if (entries.isServing(entry)) {
    return { type: wasServing ? "changed" : "joined", entry };
  }
  if (!wasServing) return undefined;
  return { type: entry.phase === "left" ? "left" : "expired", id: entry.id };
}
