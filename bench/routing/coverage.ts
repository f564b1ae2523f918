/** Evenness and churn of the subsets of endpoints at size. Deterministic.
 * @module */

import * as routing from "../../src/routing/mod.ts";
import type * as result from "../result.ts";

const HOSTS = 390;
const ENDPOINTS = 5500;
const DATA_CENTRES = 13;

type Subsets = Map<string, Set<string>>;

/** Measures the fleet as it is and after one change of each kind. */
export function run(): result.Result[] {
  const hosts = places("host", HOSTS);
  const endpoints = places("engine", ENDPOINTS);
  const start = performance.now();
  const all = subsets(hosts, endpoints);
  const time = (performance.now() - start) / HOSTS;
  const sizes = [...all.values()].map((one) => one.size);
  const hostLeft = subsets(hosts.slice(1), endpoints);
  const endpointLeft = subsets(hosts, endpoints.slice(1));
  const left = all.get(hosts[0].id)?.size ?? 0;
  return [
    count("hosts of an endpoint, least", extreme(all, endpoints).least),
    count("hosts of an endpoint, most", extreme(all, endpoints).most),
    count("endpoints of a host, least", Math.min(...sizes)),
    count("endpoints of a host, mean", mean(sizes)),
    count("endpoints of a host, most", Math.max(...sizes)),
    ...shares(all),
    count("endpoints of a host that leaves", left),
    count("pairs added when it leaves", added(all, hostLeft)),
    count("pairs added when an endpoint leaves", added(all, endpointLeft)),
    {
      name: "subset/selection for one host",
      unit: "ms",
      value: time,
      kind: "time",
    },
  ];
}

function count(name: string, value: number): result.Result {
  return { name: `subset/${name}`, unit: "count", value, kind: "count" };
}

function places(name: string, size: number): routing.subset.Location[] {
  return Array.from({ length: size }, (_, pos) => ({
    id: `${name}-${pos}`,
    dataCentre: `dc-${pos % DATA_CENTRES}`,
  }));
}

function subsets(
  hosts: readonly routing.subset.Location[],
  endpoints: readonly routing.subset.Location[],
): Subsets {
  const fleet = routing.subset.SubsetSelector.create(hosts);
  return new Map(hosts.map(({ id }) => [id, fleet.select(id, endpoints)]));
}

function extreme(all: Subsets, endpoints: readonly routing.subset.Location[]) {
  const hosts = new Map(endpoints.map(({ id }) => [id, 0]));
  for (const chosen of all.values()) {
    for (const id of chosen) hosts.set(id, (hosts.get(id) ?? 0) + 1);
  }
  const counts = [...hosts.values()];
  return { least: Math.min(...counts), most: Math.max(...counts) };
}

/** Load of an endpoint over the mean when each host has as much and spreads
 * it evenly over its endpoints. */
function shares(all: Subsets): result.Result[] {
  const load = new Map<string, number>();
  for (const chosen of all.values()) {
    for (const id of chosen) {
      load.set(id, (load.get(id) ?? 0) + 1 / chosen.size);
    }
  }
  const values = [...load.values()].sort((a, b) => a - b);
  const usual = mean(values);
  return [
    count("load of an endpoint over the mean, least", values[0] / usual),
    count(
      "load of an endpoint over the mean, p99",
      values[Math.floor(0.99 * values.length)] / usual,
    ),
    count(
      "load of an endpoint over the mean, most",
      values[values.length - 1] / usual,
    ),
  ];
}

/** Pairs of host and endpoint that are new. */
function added(before: Subsets, after: Subsets): number {
  let found = 0;
  for (const [host, chosen] of after) {
    const old = before.get(host);
    for (const id of chosen) if (!old?.has(id)) found++;
  }
  return found;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
