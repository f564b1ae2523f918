import test from "ava";
import * as fc from "fast-check";
import * as subset from "./subset.ts";

function locations(
  name: string,
  size: number,
  dataCentres = 3,
): subset.Location[] {
  return Array.from({ length: size }, (_, pos) => ({
    id: `${name}-${pos}`,
    dataCentre: `dc-${pos % dataCentres}`,
  }));
}

function assignments(hosts: subset.Location[], endpoints: subset.Location[]) {
  const selector = subset.SubsetSelector.create(hosts);
  const counts = new Map(endpoints.map(({ id }) => [id, 0]));
  for (const { id } of hosts) {
    for (const endpoint of selector.select(id, endpoints)) {
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    }
  }
  return { expected: selector.hostsPerEndpoint(endpoints.length), counts };
}

test("assigns the same number of hosts to each endpoint", (t) => {
  const size = fc.integer({ min: 1, max: 40 });
  fc.assert(
    fc.property(size, fc.nat(400), (hosts, endpoints) => {
      const found = assignments(
        locations("h", hosts),
        locations("e", endpoints),
      );
      for (const count of found.counts.values()) t.is(count, found.expected);
    }),
    { numRuns: 40 },
  );
});

test("selects all endpoints in a small fleet", (t) => {
  const selector = subset.SubsetSelector.create(locations("h", 6));
  t.is(selector.select("h-0", locations("e", 18)).size, 18);
  t.is(selector.select("stranger", locations("e", 18)).size, 0);
});

test("keeps most hosts of an endpoint in its data centre", (t) => {
  const selector = subset.SubsetSelector.create(locations("h", 30));
  const endpoints = locations("e", 900);
  const chosen = selector.select("h-0", endpoints);
  const near = endpoints.filter((endpoint) =>
    chosen.has(endpoint.id) && endpoint.dataCentre === "dc-0"
  );
  t.true(near.length > 0.6 * chosen.size);
});

test("does not depend on the order of hosts", (t) => {
  const hosts = locations("h", 30);
  const endpoints = locations("e", 900);
  const expected = subset.SubsetSelector.create(hosts).select("h-7", endpoints);
  const other = subset.SubsetSelector.create(hosts.toReversed()).select(
    "h-7",
    endpoints,
  );
  t.deepEqual(expected, other);
});

test("moves only the assignments of a host that leaves", (t) => {
  const hosts = locations("h", 30);
  const endpoints = locations("e", 900);
  const before = subset.SubsetSelector.create(hosts);
  const after = subset.SubsetSelector.create(hosts.slice(1));
  const left = before.select("h-0", endpoints);
  for (const { id } of hosts.slice(1)) {
    const old = before.select(id, endpoints);
    for (const endpoint of after.select(id, endpoints)) {
      t.true(old.has(endpoint) || left.has(endpoint));
    }
  }
});
