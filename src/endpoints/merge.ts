/** Takes statements about endpoints into the state.
 * @module */

import * as membership from "../membership/mod.ts";
import * as entries from "./entry.ts";
import * as expiries from "./expiry.ts";
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
    const entry = expiries.read(step.state.entries, text);
    if (entry !== undefined) merge(step, entry, from);
  }
}

function merge(step: states.Step, entry: entries.Entry, from: string): void {
  const known = step.state.entries.get(entry.id);
  if (known === undefined && !isWorthLearning(step, entry)) return;
  const newer = known && entries.compare(entry, known);
  if (newer === 0) hear(step, entry.id, from);
  if (newer !== undefined && newer <= 0) return;
  if (entry.expired === undefined) return adopt(step, entry, from);
  if (known === undefined) return;
  mergeExpiry(step, { known, entry, from });
}

function hear(step: states.Step, id: string, from: string): void {
  const outbox = membership.outbox.hear(step.state.outbox, id, from);
  step.state = { ...step.state, outbox };
}

/** What left long ago is not learnt anew, or hosts would remind each other of
 * it for ever. */
function isWorthLearning(step: states.Step, entry: entries.Entry): boolean {
  if (entry.phase !== "left") return entry.expired === undefined;
  return (entry.age ?? 0) < states.GONE_KEPT &&
    step.state.turned.size < states.GONE_LIMIT;
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
    return adopt(step, { ...entry, endpoint: known.endpoint }, from);
  }
  if (state.leases.has(entry.id)) {
    const sequence = entry.sequence + 1;
    return adopt(step, { ...known, sequence }, state.options.host);
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
  { holders }: states.State,
  { id, endpoint }: entries.Entry,
): string | undefined {
  return endpoint && holders.of(id, endpoint.dataCentre);
}

/** Replaces what is known of an endpoint, tells the other parts and spreads
 * it. */
export function adopt(
  step: states.Step,
  entry: entries.Entry,
  from: string,
): void {
  const { state, now } = step;
  const known = state.entries.get(entry.id);
  const { age, ...kept } = entry;
  const turned = new Map(state.turned);
  turned.delete(entry.id);
  if (entry.phase !== "ready" || entry.expired !== undefined) {
    turned.set(entry.id, now - (age ?? 0));
  }
  const news = { id: entry.id, entry: kept };
  const outbox = membership.outbox.put(state.outbox, news, from);
  step.state = {
    ...state,
    entries: state.entries.set(kept),
    turned,
    outbox,
    nextNews: Math.min(state.nextNews, now + states.NEWS_DELAY),
    changedAt: now,
  };
  keepLease(step, kept);
  notify(step, known, kept);
}

/** Holds a lease while this host should, with grace for a new holder. */
export function keepLease(step: states.Step, entry: entries.Entry): void {
  const { state } = step;
  const own = entries.isServing(entry) &&
    holderOf(state, entry) === state.options.host;
  if (own === state.leases.has(entry.id)) return;
  if (own) return lease(step, entry.id, states.TAKEOVER_GRACE);
  const leases = new Map(state.leases);
  leases.delete(entry.id);
  step.state = { ...state, leases };
}

/** Starts the lease of an endpoint anew. */
export function lease(step: states.Step, id: string, grace = 0): void {
  const { state, now } = step;
  const end = now + states.leaseOf(state) + states.FORWARD_SLACK + grace;
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
