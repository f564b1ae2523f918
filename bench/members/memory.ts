/** Memory that one host needs for each host and endpoint it knows.
 * @module */

import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as endpoints from "../../src/endpoints/mod.ts";
import * as membership from "../../src/membership/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import type * as members from "../../src/schema/membership_types.ts";
import type * as schema from "../../src/schema/registry_types.ts";

const HOSTS = 2000;
const ENDPOINTS = 5500;

/** Bytes of heap. */
export interface Memory {
  perHost: number;
  perEndpoint: number;
}

/** Fills one host's copies from messages, as they come off a wire. */
export function measure(): Memory {
  v8.setFlagsFromString("--expose-gc");
  const collect = vm.runInNewContext("gc") as () => void;
  const used = () => {
    collect();
    collect();
    return process.memoryUsage().heapUsed;
  };
  // A first run brings in code and inline caches.
  knowHosts();
  knowEndpoints();
  const start = used();
  const view = knowHosts();
  const withHosts = used();
  const registry = knowEndpoints();
  const withBoth = used();
  if (view.live.length <= HOSTS) throw new Error("Hosts are missing");
  if (registry.serving.length < ENDPOINTS) {
    throw new Error("Endpoints are missing");
  }
  return {
    perHost: (withHosts - start) / HOSTS,
    perEndpoint: (withBoth - withHosts) / ENDPOINTS,
  };
}

function knowHosts(): membership.Membership {
  const random = runtime.createRandom(1);
  const address = { dataCentre: "hall-0", address: "10.0.0.1", port: 7000 };
  const self = { id: "self", ...address, incarnation: 1 };
  let view = membership.Membership.create({ self, seeds: [], random });
  for (let pos = 0; pos < HOSTS; pos++) {
    const member: members.Member = {
      ...self,
      id: `host-${pos}`,
      sequence: 0,
      status: "alive",
    };
    const text = JSON.stringify({ type: "news", news: [member] });
    const event = {
      type: "message" as const,
      from: "x",
      body: JSON.parse(text),
    };
    view = view.step(event, pos).state;
    view = view.step({ type: "wake" }, pos + 200).state;
  }
  return view;
}

function knowEndpoints(): endpoints.Registry {
  const random = runtime.createRandom(1);
  let registry = endpoints.Registry.create({ host: "x", lease: 1, random });
  for (let pos = 0; pos < ENDPOINTS; pos++) {
    const entry: schema.RegistryEntry = {
      id: `engine-${pos}`,
      generation: 1,
      phase: "ready",
      sequence: 0,
      declared: 1,
      endpoint: {
        service: "course-model",
        kind: "engine",
        url: `http://10.20.30.40:${pos}`,
        dataCentre: "hall-0",
        slots: 16,
        fencing: "checks",
        role: "both",
        models: ["course-large"],
      },
    };
    const text = JSON.stringify({ type: "news", news: [entry] });
    const event = {
      type: "message" as const,
      from: "x",
      body: JSON.parse(text),
    };
    registry = registry.step(event, pos).state;
    registry = registry.step({ type: "wake" }, pos + 200).state;
  }
  return registry;
}
