import test from "ava";
import type * as membership from "../membership/mod.ts";
import type * as request from "../request/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as localFleet from "./local_fleet.ts";
import * as endpointSubsets from "./endpoint_subsets.ts";

const HOSTS = Array.from({ length: 40 }, (_, pos) => `h-${pos}`);

function members(ids: readonly string[], draining: readonly string[] = []) {
  return ids.map((id, pos): membership.Member => ({
    id,
    dataCentre: `hall-${pos % 3}`,
    address: "127.0.0.1",
    port: 1,
    incarnation: 1,
    sequence: 0,
    status: "alive",
    drain: draining.includes(id) ? "asked" : undefined,
  }));
}

function endpoints(
  service: string,
  size: number,
): request.ReachableEndpoint[] {
  return Array.from({ length: size }, (_, pos) => ({
    id: `${service}-${pos}`,
    service,
    kind: "engine",
    url: "http://127.0.0.1:1",
    dataCentre: `hall-${pos % 3}`,
    slots: 8,
    role: "both",
    state: "ready",
  }));
}

test("a small service is used in full beside a large one", (t) => {
  const chosen = endpointSubsets.EndpointSubsets.create("h-0");
  chosen.setHosts(members(HOSTS));
  const small = endpoints("desk", endpointSubsets.MAX_UNSPLIT_ENDPOINTS);
  t.deepEqual(chosen.choose(small), small);
  const large = endpoints("lm", 1000);
  const found = chosen.choose([...small, ...large]);
  const count = (service: string) =>
    found.filter((one) => one.service === service).length;
  t.is(count("desk"), small.length);
  t.true(count("lm") >= 64 && count("lm") < 200, String(count("lm")));
});

test("all hosts together cover every endpoint of a large service", (t) => {
  const large = endpoints("lm", 1000);
  const found = HOSTS.flatMap((id) => {
    const chosen = endpointSubsets.EndpointSubsets.create(id);
    chosen.setHosts(members(HOSTS));
    return chosen.choose(large).map((endpoint) => endpoint.id);
  });
  t.is(new Set(found).size, large.length);
});

test("a choice from cached assignments equals an uncached one", (t) => {
  const kept = endpointSubsets.EndpointSubsets.create("h-3");
  kept.setHosts(members(HOSTS));
  kept.choose(endpoints("lm", 900));
  for (const size of [1000, 150, 100, 600]) {
    const fresh = endpointSubsets.EndpointSubsets.create("h-3");
    fresh.setHosts(members(HOSTS));
    const present = endpoints("lm", size);
    t.deepEqual(kept.choose(present), fresh.choose(present));
  }
});

test("the choice changes when hosts join, leave or drain", (t) => {
  const large = endpoints("lm", 1000);
  const chosen = endpointSubsets.EndpointSubsets.create("h-0");
  t.true(chosen.setHosts(members(HOSTS)));
  t.false(chosen.setHosts(members(HOSTS)));
  const before = chosen.choose(large);
  t.true(chosen.setHosts(members(HOSTS, HOSTS.slice(1, 30))));
  const after = chosen.choose(large);
  t.notDeepEqual(after, before);
  const fresh = endpointSubsets.EndpointSubsets.create("h-0");
  fresh.setHosts(members(HOSTS).filter((_, pos) => pos < 1 || pos >= 30));
  t.deepEqual(after, fresh.choose(large));
  t.true(chosen.setHosts(members(["h-0"])));
  t.is(chosen.choose(large).length, large.length);
});

interface Dump {
  path: { dispatcher: { pools: { billing: { id: string }[] } } };
}

test("the hosts of a fleet partition a large service", async (t) => {
  const fixed = endpoints("billing", 200).map(({ id, url, dataCentre }) => {
    return { id, url, dataCentre };
  });
  const services: schema.Settings["services"] = [
    { name: "billing", kind: "plain", endpoints: fixed },
  ];
  const hosts = ["a", "b", "c"];
  const fleet = await localFleet.LocalFleet.start({
    voters: hosts,
    settings: { services },
  });
  t.teardown(() => fleet.stop());
  const known = () =>
    hosts.flatMap((id) => {
      const { path } = fleet.get(id).dump() as Dump;
      return path.dispatcher.pools.billing.map((one) => one.id);
    });
  await fleet.advanceUntil(() => known().length === fixed.length);
  t.is(new Set(known()).size, fixed.length);
});
