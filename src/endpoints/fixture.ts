/** Sightings for tests.
 * @module */

import type * as roster from "./roster.ts";

/** A ready endpoint of the service `desk`. */
export function sighting(
  change: Partial<roster.Sighting> = {},
): roster.Sighting {
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
