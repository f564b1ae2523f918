/** Leases of endpoints: renewed through any host, ended by their holder.
 * @module */

import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as holders from "./lease_holder.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

/** Renews the lease here, or at its holder. */
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

/** Takes renewals that another host heard. */
export function receiveRenewals(
  step: states.Step,
  from: string,
  { renewals, forwarded }: schema.Renew,
): void {
  const unknown: string[] = [];
  const newer: entries.Entry[] = [];
  for (const renewal of renewals) {
    const known = step.state.entries.get(renewal.id);
    if (known === undefined || known.generation < renewal.generation) {
      unknown.push(renewal.id);
    } else if (isOver(known, renewal)) newer.push(known);
    else revive(step, known, forwarded ?? false);
  }
  const { effects } = step;
  if (unknown.length > 0) {
    effects.push({
      type: "send",
      to: from,
      body: { type: "want", ids: unknown },
    });
  }
  if (newer.length > 0) {
    effects.push({
      type: "send",
      to: from,
      body: { type: "news", news: newer },
    });
  }
}

/** Sends renewals on to the holders. */
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

/** Ends the leases that have run out. */
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
  const rest = [...step.state.leases.values()];
  const nextExpiry = rest.reduce(
    (least, end) => Math.min(least, end),
    Infinity,
  );
  step.state = { ...step.state, nextExpiry };
}

/** Takes over the leases that fall to this host, and gives up others. */
export function updateHosts(
  step: states.Step,
  hosts: readonly holders.Host[],
  neighbours: readonly string[],
): void {
  step.state = {
    ...step.state,
    leaseHolders: holders.LeaseHolders.create(hosts),
    neighbours,
  };
  for (const entry of step.state.entries.values()) {
    merges.updateLease(step, entry);
  }
}

function isOver(known: entries.Entry, renewal: schema.Renewal): boolean {
  return known.phase === "left" || known.generation > renewal.generation;
}

/** Extends the lease of a known endpoint, and wakes up one that expired. */
function revive(
  step: states.Step,
  known: entries.Entry,
  forwarded: boolean,
): void {
  const { state } = step;
  const holder = merges.holderOf(state, known);
  if (holder !== state.options.host) {
    // Views of the hosts differ for now: one more hop, never a loop.
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
