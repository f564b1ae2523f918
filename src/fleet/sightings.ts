/** Entries of a roster on their way to another host.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as schema from "../schema/fleet_types.ts";

/** An entry as a message carries it: times as ages, since clocks differ. */
export function encode(
  entry: endpoints.RosterEntry,
  now: number,
): schema.Sighting {
  const { id, service, address, dataCentre, version, slots } = entry;
  const { state, sequence, heard, coldUntil, isSilent } = entry;
  const cold = Math.max(0, Math.round(coldUntil - now));
  return {
    id,
    service,
    address,
    dataCentre,
    version,
    slots,
    state,
    sequence,
    age: Math.max(0, Math.round(now - heard)),
    ...(cold > 0 && { cold }),
    ...(isSilent && { silent: true }),
  };
}

/** A report out of a message. Hosts that hear heartbeats judge silence by
 * themselves; others believe what they are told. */
export function decode(
  { age, cold = 0, silent, ...sighting }: schema.Sighting,
  { now, judges }: { now: number; judges: boolean },
): endpoints.Report {
  return {
    sighting,
    heard: now - age,
    coldUntil: cold > 0 ? now + cold : 0,
    ...(judges ? {} : { isSilent: silent ?? false }),
  };
}
