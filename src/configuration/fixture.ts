/** Configurations for tests.
 * @module */

import type * as configurations from "./configuration.ts";

/** A route of the service `desk`. */
export function route(
  change: Partial<configurations.Route> = {},
): configurations.Route {
  return {
    name: "route",
    hostname: "host.example",
    prefix: "/a/",
    kind: "safe",
    targets: [{ service: "desk", weight: 1 }],
    timeout: 1000,
    objective: 100,
    priority: 0,
    attempts: 2,
    stages: [],
    isPublic: false,
    affinity: false,
    resumable: false,
    ...change,
  };
}

/** Performance figures of a service that computes items. */
export function batchTraits(
  change: Partial<configurations.BatchTraits> = {},
): configurations.BatchTraits {
  return {
    slots: 1,
    queue: 2,
    batch: 4,
    callTime: 100,
    itemTime: 10,
    room: 1000,
    keepTime: 4000,
    ...change,
  };
}

/** A valid configuration with one route and one service. */
export function configuration(
  change: Partial<configurations.Configuration> = {},
): configurations.Configuration {
  return {
    version: 1,
    routes: [route()],
    services: [{ name: "desk", connections: 10 }],
    accounts: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerTimeout: 3000,
      idleTimeout: 15_000,
    },
    ...change,
  };
}
