/** Leases of endpoints. Any host accepts a renewal and forwards it to the lease
 * holder; only the holder lets a lease expire.
 * @module */

import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as leaseHolder from "./lease_holder.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

/** Renews a lease held here, or queues the renewal for the lease holder. */
export function renew(
  step: states.Step,
  { id, generation, endpoint }: entries.Entry,
): void {
  const { state, now } = step;
  const holder = endpoint && state.leaseHolders.of(id, endpoint.dataCentre);
  if (holder === undefined) return;
  if (holder === state.options.host) return merges.startLease(step, id);
  const queued = new Map(state.renewals.get(holder)).set(id, generation);
  step.state = {
    ...state,
    renewals: new Map(state.renewals).set(holder, queued),
    nextRenewal: Math.min(state.nextRenewal, now + states.RENEWAL_DELAY_MS),
  };
}

/** Processes renewals that another host forwards. */
export function receiveRenewals(
  step: states.Step,
  from: string,
  { renewals, forwarded }: schema.Renew,
): void {
  const unknown: string[] = [];
  const superseding: entries.Entry[] = [];
  for (const renewal of renewals) {
    const known = step.state.entries.get(renewal.id);
    if (known === undefined || known.generation < renewal.generation) {
      unknown.push(renewal.id);
    } else if (isSuperseded(known, renewal)) superseding.push(known);
    else renewKnown(step, known, forwarded ?? false);
  }
  const { effects } = step;
  if (unknown.length > 0) {
    effects.push({
      type: "send",
      to: from,
      body: { type: "want", ids: unknown },
    });
  }
  if (superseding.length > 0) {
    effects.push({
      type: "send",
      to: from,
      body: { type: "news", news: superseding },
    });
  }
}

/** Forwards queued renewals to the lease holders. */
export function sendRenewals(step: states.Step): void {
  const { state } = step;
  step.state = { ...state, renewals: new Map(), nextRenewal: Infinity };
  for (const [to, queued] of state.renewals) {
    const renewals = [...queued].map(([id, generation]) => ({
      id,
      generation,
    }));
    step.effects.push({ type: "send", to, body: { type: "renew", renewals } });
  }
}

/** Expires the leases that are due. */
export function expire(step: states.Step): void {
  const { leases, options } = step.state;
  for (const [id, end] of leases) {
    if (step.now < end) continue;
    const { generation, phase, sequence, declared, endpoint } = step.state
      .entries.get(id)!;
    const expired = options.host;
    merges.replace(
      step,
      { id, generation, phase, sequence, expired, declared, endpoint },
      options.host,
    );
  }
  const remaining = [...step.state.leases.values()];
  const nextExpiry = remaining.reduce(
    (earliest, end) => Math.min(earliest, end),
    Infinity,
  );
  step.state = { ...step.state, nextExpiry };
}

/** Replaces the set of hosts, and takes or releases leases accordingly. */
export function updateHosts(
  step: states.Step,
  hosts: readonly leaseHolder.Host[],
  neighbours: readonly string[],
): void {
  step.state = {
    ...step.state,
    leaseHolders: leaseHolder.LeaseHolders.create(hosts),
    neighbours,
  };
  for (const entry of step.state.entries.values()) {
    merges.updateLease(step, entry);
  }
}

function isSuperseded(known: entries.Entry, renewal: schema.Renewal): boolean {
  return known.phase === "left" || known.generation > renewal.generation;
}

/** Extends the lease of a known endpoint and revokes its expiry if it has
 * expired; forwards the renewal if another host holds the lease. */
function renewKnown(
  step: states.Step,
  known: entries.Entry,
  forwarded: boolean,
): void {
  const { state } = step;
  const holder = merges.holderOf(state, known);
  if (holder !== state.options.host) {
    // The sender has a different view of the members. The renewal is forwarded
    // once only, which prevents loops.
    if (!forwarded && holder !== undefined) forward(step, holder, known);
    return;
  }
  if (known.expired !== undefined) {
    const { expired: _, ...rest } = known;
    const sequence = known.sequence + 1;
    merges.replace(step, { ...rest, sequence }, state.options.host);
  }
  merges.startLease(step, known.id);
}

function forward(
  step: states.Step,
  to: string,
  { id, generation }: entries.Entry,
): void {
  const renewals = [{ id, generation }];
  const body: schema.Renew = { type: "renew", renewals, forwarded: true };
  step.effects.push({ type: "send", to, body });
}
