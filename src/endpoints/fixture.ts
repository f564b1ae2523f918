/** Sample endpoints for tests.
 * @module */

import type * as roster from "./roster.ts";

/** Returns the status of a ready endpoint. */
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

/** Returns the roster entry of a ready endpoint. */
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
