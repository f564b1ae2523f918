/** Takes statements about endpoints into the state.
 * @module */

import * as membership from "../membership/mod.ts";
import * as entries from "./entry.ts";
import * as expiries from "./compact_expiry.ts";
import * as states from "./state.ts";

/** Takes in what `from` says about endpoints. */
export function mergeAll(
  step: states.Step,
  news: readonly entries.Entry[],
  from: string,
): void {
  for (const entry of news) merge(step, entry, from);
}

/** Takes in expiries in short form; copies are compared later if one is about
 * what is not known here. */
export function mergeExpiries(
  step: states.Step,
  texts: readonly string[],
  from: string,
): void {
  for (const text of texts) {
    const entry = expiries.decode(step.state.entries, text);
    if (entry !== undefined) merge(step, entry, from);
  }
}

function merge(step: states.Step, entry: entries.Entry, from: string): void {
  const known = step.state.entries.get(entry.id);
  if (known === undefined && !isWorthLearning(step, entry)) return;
  const newer = known && entries.compare(entry, known);
  if (newer === 0) hear(step, entry.id, from);
  if (newer !== undefined && newer <= 0) return;
  if (entry.expired === undefined) return replace(step, entry, from);
  if (known === undefined) return;
  mergeExpiry(step, { known, entry, from });
}

function hear(step: states.Step, id: string, from: string): void {
  const outbox = membership.outbox.markKnown(step.state.gossipQueue, id, from);
  step.state = { ...step.state, gossipQueue: outbox };
}

/** What left long ago is not learnt anew, or hosts would remind each other of
 * it for ever. */
function isWorthLearning(step: states.Step, entry: entries.Entry): boolean {
  if (entry.phase !== "left") return entry.expired === undefined;
  return (entry.age ?? 0) < states.TOMBSTONE_RETENTION_MS &&
    step.state.notReadySince.size < states.MAX_TOMBSTONES;
}

/** Only the host that holds the lease can tell that it ran out: one that was
 * cut off from the endpoint and its holder cannot. */
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
  if (holder !== undefined) askHolder(step, holder, entry);
}

/** Lets the holder refute an expiry that another host declared, or confirm
 * it. */
function askHolder(
  { effects }: states.Step,
  to: string,
  entry: entries.Entry,
): void {
  effects.push(
    { type: "send", to, body: { type: "news", news: [entry] } },
    { type: "send", to, body: { type: "want", ids: [entry.id] } },
  );
}

/** Host that holds the lease of the endpoint, as this host sees it. */
export function holderOf(
  { leaseHolders: holders }: states.State,
  { id, endpoint }: entries.Entry,
): string | undefined {
  return endpoint && holders.of(id, endpoint.dataCentre);
}

/** Replaces what is known of an endpoint, tells the other parts and spreads
 * it. */
export function replace(
  step: states.Step,
  entry: entries.Entry,
  from: string,
): void {
  const { state, now } = step;
  const known = state.entries.get(entry.id);
  const { age, ...kept } = entry;
  const turned = new Map(state.notReadySince);
  turned.delete(entry.id);
  if (entry.phase !== "ready" || entry.expired !== undefined) {
    turned.set(entry.id, now - (age ?? 0));
  }
  const news = { id: entry.id, entry: kept };
  const outbox = membership.outbox.enqueue(state.gossipQueue, news, from);
  step.state = {
    ...state,
    entries: state.entries.set(kept),
    notReadySince: turned,
    gossipQueue: outbox,
    nextGossip: Math.min(state.nextGossip, now + states.UPDATE_DELAY_MS),
    changedAt: now,
  };
  updateLease(step, kept);
  notify(step, known, kept);
}

/** Holds a lease while this host should, with grace for a new holder. */
export function updateLease(step: states.Step, entry: entries.Entry): void {
  const { state } = step;
  const own = entries.isServing(entry) &&
    holderOf(state, entry) === state.options.host;
  if (own === state.leases.has(entry.id)) return;
  if (own) return startLease(step, entry.id, states.TAKEOVER_GRACE_MS);
  const leases = new Map(state.leases);
  leases.delete(entry.id);
  step.state = { ...state, leases };
}

/** Starts the lease of an endpoint anew. */
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
  const served = known !== undefined && entries.isServing(known);
  if (entries.isServing(entry)) {
    return { type: served ? "changed" : "joined", entry };
  }
  if (!served) return undefined;
  return { type: entry.phase === "left" ? "left" : "expired", id: entry.id };
}
