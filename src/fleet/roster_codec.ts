/** Entries of a roster on their way to another host.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as schema from "../schema/fleet_types.ts";

/** An entry as a message carries it: times as ages, since clocks differ. */
export function encode(
  entry: endpoints.RosterEntry,
  now: number,
): schema.Sighting {
  const { id, born, service, address, dataCentre, version, slots } = entry;
  const { state, sequence, heardAt: heard, coldUntil, isSilent } = entry;
  const cold = Math.max(0, Math.round(coldUntil - now));
  return {
    id,
    ...(born !== undefined && { born }),
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
  told: schema.Sighting,
  { now, judges }: { now: number; judges: boolean },
): endpoints.StatusReport {
  const { id, born, service, address, dataCentre, version, slots } = told;
  const { state, sequence, age, cold = 0, silent } = told;
  const place = { service, address, dataCentre };
  return {
    status: { id, born, ...place, version, slots, state, sequence },
    heardAt: now - age,
    coldUntil: cold > 0 ? now + cold : 0,
    ...(judges ? {} : { isSilent: silent ?? false }),
  };
}
