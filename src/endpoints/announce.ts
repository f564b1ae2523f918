/** Announcements and leaves that an endpoint sends to this host.
 * @module */

import type * as announcements from "../schema/endpoint_types.ts";
import type * as schema from "../schema/registry_types.ts";
import * as entries from "./entry.ts";
import * as leases from "./lease.ts";
import * as merges from "./merge.ts";
import * as states from "./state.ts";

/** Processes an announcement. A change is gossiped to all hosts; a renewal goes
 * to the lease holder only. */
export function announce(
  step: states.Step,
  id: string,
  announcement: announcements.Announcement,
): void {
  const known = step.state.entries.get(id);
  const announced = entryOf(id, announcement);
  const refusal = known && refusalOf(step, known, announced);
  if (refusal !== undefined) {
    step.effects.push({ type: "refuse", id, reason: refusal });
    return;
  }
  const next = known === undefined ? announced : apply(step, known, announced);
  if (next !== known) merges.replace(step, next, step.state.options.host);
  leases.renew(step, next);
  step.effects.push({
    type: "accept",
    id,
    lease: states.leaseDuration(step.state),
  });
}

/** Processes the leave of an endpoint, unless an earlier incarnation sent it.
 * A leave of an incarnation unknown to this host ends that incarnation. */
export function leave(
  step: states.Step,
  id: string,
  incarnation: number | undefined,
): void {
  const known = step.state.entries.get(id);
  const tombstone = known === undefined
    ? tombstoneOfUnknown(step, id, incarnation)
    : tombstoneOf(known, incarnation);
  if (tombstone === undefined) return;
  merges.replace(step, tombstone, step.state.options.host);
}

/** Returns the tombstone of an endpoint that left before this host knew it. */
function tombstoneOfUnknown(
  { state }: states.Step,
  id: string,
  incarnation: number | undefined,
): entries.Entry | undefined {
  const isFull = state.notReadySince.size >= states.MAX_TOMBSTONES;
  if (incarnation === undefined || isFull) return undefined;
  const generation = incarnation;
  return { id, generation, phase: "left", sequence: 0, declared: incarnation };
}

function tombstoneOf(
  known: entries.Entry,
  incarnation: number | undefined,
): entries.Entry | undefined {
  const { id, generation, declared, sequence } = known;
  const isComparable = incarnation !== undefined && declared !== undefined;
  if (isComparable && incarnation < declared) return undefined;
  if (isComparable && incarnation > declared) {
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

function entryOf(
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

/** Returns the keys in a fixed order, so that equal content serializes to equal
 * text. */
function endpointOf(
  rest: Omit<announcements.Announcement, "state" | "incarnation">,
): schema.Endpoint {
  const { service, kind, url, dataCentre, slots, fencing, role, models } = rest;
  return { service, kind, url, dataCentre, slots, fencing, role, models };
}

function refusalOf(
  step: states.Step,
  known: entries.Entry,
  announced: entries.Entry,
): states.Refusal | undefined {
  if (startedBefore(announced, known)) return "stale";
  if (known.phase !== "left" || isNewGeneration(step, known, announced)) {
    return undefined;
  }
  return "left";
}

/** Returns the entry after an announcement, or `known` itself if the
 * announcement changes nothing. */
function apply(
  step: states.Step,
  known: entries.Entry,
  announced: entries.Entry,
): entries.Entry {
  if (isNewGeneration(step, known, announced)) {
    const generation = Math.max(known.generation + 1, announced.generation);
    return { ...announced, generation };
  }
  const isReverting =
    entries.PHASE_ORDER[announced.phase] < entries.PHASE_ORDER[known.phase];
  const phase = isReverting ? known.phase : announced.phase;
  const isUnchanged = phase === known.phase && known.expired === undefined &&
    entries.contentKey(announced) === entries.contentKey(known);
  if (isUnchanged) return known;
  const { generation, sequence } = known;
  return { ...announced, generation, phase, sequence: sequence + 1 };
}

/** Whether an announcement starts a new generation: it has a higher
 * incarnation, or goes back to an earlier phase long enough after leaving it. */
function isNewGeneration(
  { state, now }: states.Step,
  known: entries.Entry,
  announced: entries.Entry,
): boolean {
  if (startedBefore(known, announced)) return true;
  if (
    entries.PHASE_ORDER[announced.phase] >= entries.PHASE_ORDER[known.phase]
  ) {
    return false;
  }
  const notReadySince = state.notReadySince.get(known.id) ?? now;
  const declared = announced.declared !== undefined;
  if (declared && known.phase !== "left") return false;
  return now - notReadySince >=
    (declared ? states.REJOIN_DELAY_MS : states.REVERT_DELAY_MS);
}

function startedBefore(left: entries.Entry, right: entries.Entry): boolean {
  return left.declared !== undefined && right.declared !== undefined &&
    left.declared < right.declared;
}
