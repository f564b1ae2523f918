/** Takes what endpoints say of themselves, at the host that hears it.
 * @module */

import type * as announcements from "../schema/endpoint_types.ts";
import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as leases from "./lease.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

/** Takes an announcement. A change spreads from here; a renewal only goes to
 * the host that holds the lease. */
export function announce(
  step: states.Step,
  id: string,
  announcement: announcements.Announcement,
): void {
  const known = step.state.entries.get(id);
  const stated = statementOf(id, announcement);
  const refusal = known && refusalOf(step, known, stated);
  if (refusal !== undefined) {
    step.effects.push({ type: "refuse", id, reason: refusal });
    return;
  }
  const next = known === undefined ? stated : follow(step, known, stated);
  if (next !== known) merges.replace(step, next, step.state.options.host);
  leases.renew(step, next);
  step.effects.push({
    type: "accept",
    id,
    lease: states.leaseDuration(step.state),
  });
}

/** Takes the farewell of an endpoint, unless it is from an earlier run. One
 * that names a run which this host has not heard of ends that run. */
export function leave(
  step: states.Step,
  id: string,
  incarnation: number | undefined,
): void {
  const known = step.state.entries.get(id);
  const left = known === undefined
    ? unheard(step, id, incarnation)
    : leftOf(known, incarnation);
  if (left === undefined) return;
  merges.replace(step, left, step.state.options.host);
}

/** An endpoint that left before this host heard of it. */
function unheard(
  { state }: states.Step,
  id: string,
  incarnation: number | undefined,
): entries.Entry | undefined {
  const full = state.notReadySince.size >= states.MAX_TOMBSTONES;
  if (incarnation === undefined || full) return undefined;
  const generation = incarnation;
  return { id, generation, phase: "left", sequence: 0, declared: incarnation };
}

function leftOf(
  known: entries.Entry,
  incarnation: number | undefined,
): entries.Entry | undefined {
  const { id, generation, declared, sequence } = known;
  const named = incarnation !== undefined && declared !== undefined;
  if (named && incarnation < declared) return undefined;
  if (named && incarnation > declared) {
    return {
      id,
      generation: Math.max(generation + 1, incarnation),
      phase: "left",
      sequence: 0,
      declared: incarnation,
    };
  }
  if (known.phase === "left") return undefined;
  const next = sequence + 1;
  return { id, generation, phase: "left", sequence: next, declared };
}

function statementOf(
  id: string,
  { state, incarnation, ...rest }: announcements.Announcement,
): entries.Entry {
  return {
    id,
    generation: incarnation ?? 0,
    phase: state ?? "ready",
    sequence: 0,
    declared: incarnation,
    endpoint: endpointOf(rest),
  };
}

/** The same keys in the same order, so that equal content gives equal text. */
function endpointOf(
  rest: Omit<announcements.Announcement, "state" | "incarnation">,
): schema.Endpoint {
  const { service, kind, url, dataCentre, slots, fencing, role, models } = rest;
  return { service, kind, url, dataCentre, slots, fencing, role, models };
}

function refusalOf(
  step: states.Step,
  known: entries.Entry,
  stated: entries.Entry,
): states.Refusal | undefined {
  if (startedBefore(stated, known)) return "stale";
  if (known.phase !== "left" || isNewRun(step, known, stated)) return undefined;
  return "left";
}

/** What is known after the statement; `known` itself when it says nothing
 * new. */
function follow(
  step: states.Step,
  known: entries.Entry,
  stated: entries.Entry,
): entries.Entry {
  if (isNewRun(step, known, stated)) {
    const generation = Math.max(known.generation + 1, stated.generation);
    return { ...stated, generation };
  }
  const back =
    entries.PHASE_ORDER[stated.phase] < entries.PHASE_ORDER[known.phase];
  const phase = back ? known.phase : stated.phase;
  const same = phase === known.phase && known.expired === undefined &&
    entries.contentKey(stated) === entries.contentKey(known);
  if (same) return known;
  const { generation, sequence } = known;
  return { ...stated, generation, phase, sequence: sequence + 1 };
}

/** Whether the statement starts a new generation: a higher incarnation, or a
 * phase that went back and has had time to settle. */
function isNewRun(
  { state, now }: states.Step,
  known: entries.Entry,
  stated: entries.Entry,
): boolean {
  if (startedBefore(known, stated)) return true;
  if (entries.PHASE_ORDER[stated.phase] >= entries.PHASE_ORDER[known.phase]) {
    return false;
  }
  const turnedAt = state.notReadySince.get(known.id) ?? now;
  const declared = stated.declared !== undefined;
  if (declared && known.phase !== "left") return false;
  return now - turnedAt >=
    (declared ? states.REJOIN_DELAY_MS : states.REVERT_DELAY_MS);
}

function startedBefore(left: entries.Entry, right: entries.Entry): boolean {
  return left.declared !== undefined && right.declared !== undefined &&
    left.declared < right.declared;
}
