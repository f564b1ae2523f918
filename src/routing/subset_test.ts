import test from "ava";
import * as fc from "fast-check";
import * as subset from "./subset.ts";

function places(
  name: string,
  size: number,
  dataCentres = 3,
): subset.Location[] {
  return Array.from({ length: size }, (_, pos) => ({
    id: `${name}-${pos}`,
    dataCentre: `dc-${pos % dataCentres}`,
  }));
}

function coverage(hosts: subset.Location[], endpoints: subset.Location[]) {
  const fleet = subset.SubsetSelector.create(hosts);
  const counts = new Map(endpoints.map(({ id }) => [id, 0]));
  for (const { id } of hosts) {
    for (const one of fleet.select(id, endpoints)) {
      counts.set(one, (counts.get(one) ?? 0) + 1);
    }
  }
  return { covers: fleet.hostsPerEndpoint(endpoints.length), counts };
}

test("covers each endpoint by the same number of hosts", (t) => {
  const size = fc.integer({ min: 1, max: 40 });
  fc.assert(
    fc.property(size, fc.nat(400), (hosts, endpoints) => {
      const found = coverage(places("h", hosts), places("e", endpoints));
      for (const count of found.counts.values()) t.is(count, found.covers);
    }),
    { numRuns: 40 },
  );
});

test("knows all endpoints in a small fleet", (t) => {
  const fleet = subset.SubsetSelector.create(places("h", 6));
  t.is(fleet.select("h-0", places("e", 18)).size, 18);
  t.is(fleet.select("stranger", places("e", 18)).size, 0);
});

test("keeps most hosts of an endpoint in its data centre", (t) => {
  const fleet = subset.SubsetSelector.create(places("h", 30));
  const endpoints = places("e", 900);
  const chosen = fleet.select("h-0", endpoints);
  const near = endpoints.filter((one) =>
    chosen.has(one.id) && one.dataCentre === "dc-0"
  );
  t.true(near.length > 0.6 * chosen.size);
});

test("does not depend on the order of hosts", (t) => {
  const hosts = places("h", 30);
  const endpoints = places("e", 900);
  const one = subset.SubsetSelector.create(hosts).select("h-7", endpoints);
  const other = subset.SubsetSelector.create(hosts.toReversed()).select(
    "h-7",
    endpoints,
  );
  t.deepEqual(one, other);
});

test("moves only what a leaving host had", (t) => {
  const hosts = places("h", 30);
  const endpoints = places("e", 900);
  const before = subset.SubsetSelector.create(hosts);
  const after = subset.SubsetSelector.create(hosts.slice(1));
  const left = before.select("h-0", endpoints);
  for (const { id } of hosts.slice(1)) {
    const old = before.select(id, endpoints);
    for (const one of after.select(id, endpoints)) {
      t.true(old.has(one) || left.has(one));
    }
  }
});
