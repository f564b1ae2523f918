/** Conversion between endpoint entries and the messages that carry them.
 * @module */

import type * as endpoints from "../endpoints/mod.ts";
import type * as schema from "../schema/fleet_types.ts";

/** Encodes an entry. Times become ages, since the clocks of hosts differ. */
export function encode(
  entry: endpoints.RosterEntry,
  now: number,
): schema.Sighting {
  const { id, born, service, address, dataCentre, version, slots } = entry;
  const { state, sequence, heardAt, coldUntil, isSilent } = entry;
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
    age: Math.max(0, Math.round(now - heardAt)),
    ...(cold > 0 && { cold }),
    ...(isSilent && { silent: true }),
  };
}

/** Decodes a report. Hosts that receive heartbeats (`judges`) detect silence by
 * themselves; others adopt the sender's finding. */
export function decode(
  message: schema.Sighting,
  { now, judges }: { now: number; judges: boolean },
): endpoints.StatusReport {
  const { id, born, service, address, dataCentre, version, slots } = message;
  const { state, sequence, age, cold = 0, silent } = message;
  const location = { service, address, dataCentre };
  return {
    status: { id, born, ...location, version, slots, state, sequence },
    heardAt: now - age,
    coldUntil: cold > 0 ? now + cold : 0,
    ...(judges ? {} : { isSilent: silent ?? false }),
  };
}
