/** Sightings for tests.
 * @module */

import type * as roster from "./roster.ts";

/** A ready endpoint of the service `desk`. */
export function endpointStatus(
  change: Partial<roster.EndpointStatus> = {},
): roster.EndpointStatus {
  return {
    id: "i-1",
    service: "desk",
    address: "10.0.0.1:80",
    dataCentre: "town",
    version: "v1",
    slots: 4,
    state: "ready",
    sequence: 1,
    ...change,
  };
}

/** A ready endpoint as a roster holds it. */
export function entry(
  change: Partial<roster.RosterEntry> = {},
): roster.RosterEntry {
  return {
    ...endpointStatus(),
    heardAt: 0,
    firstHeardAt: 0,
    coldUntil: 0,
    revision: 1,
    isSilent: false,
    ...change,
  };
}
