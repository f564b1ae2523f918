/** Slopes of the registry of endpoints, by counts in virtual time that repeat.
 * @module */

import * as registry from "../../src/endpoints/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/registry_types.ts";
import * as gauge from "./gauge.ts";
import * as hosts from "./hosts.ts";
import type * as slope from "./slope.ts";

const SMALL_FLEETS = [50, 100, 200];
const SHARES = [1, 4, 8, 14];
const COPIES = [500, 1500, 3500, 5500];
/** Endpoints for each host at the target, rounded down. */
const ENDPOINTS_PER_HOST = 14;
const MINUTE = 60_000;
/** Virtual time after a change in which all hosts hear of it. */
const AFTER = 30_000;
const BYTES_PER_MB = 1e6;
/** Entries in one message of news. */
const NEWS = 32;

type Cost = (fleet: hosts.Fleet) => number;

const HOSTS = {
  role: "entry host" as const,
  target: 390,
  reason: "all hosts of the target",
};

function atShares(cost: Cost): slope.Point[] {
  return SHARES.map((size) => {
    const fleet = hosts.settle(24, 24 * size);
    return { size, value: cost(fleet) };
  });
}

function atSmallFleets(cost: Cost): slope.Point[] {
  return SMALL_FLEETS.map((size) => {
    const fleet = hosts.settle(size, size * ENDPOINTS_PER_HOST);
    return { size, value: cost(fleet) };
  });
}

const endpoints: slope.Matter[] = [
  {
    role: "entry host",
    name: "registry bytes by endpoints of a host",
    per: "endpoints a host, 24 hosts",
    unit: "bytes/s",
    target: 5500 / 390,
    reason: "5,500 engines before 390 hosts",
    mechanism: "leases that stretch with the endpoints of a host",
    measure: () =>
      Promise.resolve(
        atShares((fleet) => fleet.rate(MINUTE, "registry").bytes),
      ),
  },
  {
    ...HOSTS,
    name: "registry bytes at rest",
    per: "hosts with 14 endpoints each",
    unit: "bytes/s",
    mechanism: "renewals to one holder, roots to one neighbour",
    budget: 3000,
    measure: () =>
      Promise.resolve(
        atSmallFleets((fleet) => fleet.rate(MINUTE, "registry").bytes),
      ),
  },
  {
    ...HOSTS,
    name: "registry messages at rest",
    per: "hosts with 14 endpoints each",
    unit: "messages/s",
    mechanism: "renewals for one holder are gathered for 100 ms",
    measure: () =>
      Promise.resolve(
        atSmallFleets((fleet) => fleet.rate(MINUTE, "registry").messages),
      ),
  },
  {
    ...HOSTS,
    name: "bytes for an endpoint that comes and goes",
    per: "hosts with 14 endpoints each",
    unit: "bytes a host",
    mechanism: "news over rings, batches of 32",
    measure: () =>
      Promise.resolve(atSmallFleets((fleet) => {
        const size = fleet.fake.ids.length;
        const rest = fleet.rate(AFTER, "registry").bytes * AFTER / 1000;
        const gone = 10;
        for (let pos = 0; pos < gone; pos++) fleet.depart(pos);
        const left = fleet.count(AFTER, "registry").bytes / size - rest;
        const next = size * ENDPOINTS_PER_HOST;
        for (let pos = 0; pos < gone; pos++) fleet.announce(next + pos);
        const come = fleet.count(AFTER, "registry").bytes / size - rest;
        return Math.max(0, (left + come) / gone);
      })),
  },
  {
    ...HOSTS,
    name: "processor time of registry and membership",
    per: "hosts with 14 endpoints each",
    unit: "% of a core",
    mechanism: "steps on immutable maps, no scan of all endpoints",
    budget: 1.1,
    async measure() {
      const points: slope.Point[] = [];
      for (const size of SMALL_FLEETS) {
        const fleet = hosts.settle(size, size * ENDPOINTS_PER_HOST);
        const spent = await gauge.cpu(() => fleet.fake.run(MINUTE));
        points.push({ size, value: spent / size / MINUTE * 100 });
      }
      return points;
    },
  },
  {
    role: "entry host",
    name: "memory of a copy of the registry",
    per: "endpoints",
    unit: "MB",
    target: 5500,
    reason: "every host keeps all engines",
    mechanism: "one full copy, strings shared by the parser where it can",
    budget: 64,
    measure: () =>
      Promise.resolve(COPIES.map((size) => {
        const value = gauge.weigh(() => copyOf(size)) / BYTES_PER_MB;
        return { size, value };
      })),
  },
];

/** A registry that has heard of `size` endpoints from another host. */
function copyOf(size: number): registry.Registry {
  const random = runtime.createRandom(1);
  let state = registry.Registry.create({ host: "h", lease: 3000, random });
  for (let pos = 0; pos < size; pos += NEWS) {
    const news = Array.from({ length: NEWS }, (_, next) => entry(pos + next));
    // Through JSON, as it comes from another host.
    const body = JSON.parse(JSON.stringify({ type: "news", news }));
    state = state.step({ type: "message", from: "g", body }, 0).state;
    state = state.step({ type: "wake" }, pos).state;
  }
  return state;
}

function entry(pos: number): schema.RegistryEntry {
  return {
    id: `engine-${pos}`,
    generation: 1764697457000 + pos,
    phase: "ready",
    sequence: 0,
    endpoint: {
      service: `model-${pos % 12}`,
      kind: "engine",
      url: `http://10.0.${pos >>> 8}.${pos % 256}:8000`,
      dataCentre: `data-centre-${pos % 8}`,
      slots: 64,
      fencing: "checks",
      models: [`model-${pos % 12}`],
    },
  };
}

/** Every slope of the registry. */
export const all: readonly slope.Matter[] = endpoints;
