/** @module */

import test from "ava";
import * as partitionOwners from "./partition_owners.ts";

const HOSTS = ["a", "b", "c", "d"];
/** Most partitions of a service's endpoints in a large fleet. */
const MANY_PARTITIONS = Array.from({ length: 8 }, (_, pos) => `service ${pos}`);
const PARTITIONS = ["billing", "desk", "ledger"];

function ownerOf(partition: string, hosts = HOSTS): string {
  return partitionOwners.candidatesFor(partition, {
    partitions: PARTITIONS,
    hosts: hosts.map((host) => ({ host })),
  })[0];
}

/** Hosts of two capacities, the smaller ones first. */
function unequalHosts(small: number, large: number) {
  const hosts = (name: string, count: number, capacity: number) =>
    Array.from({ length: count }, (_, pos) => ({
      host: `${name}-${pos}`,
      capacity,
    }));
  return [...hosts("small", small, 0.243), ...hosts("large", large, 0.81)];
}

function ownersAmong(
  hosts: readonly { readonly host: string; readonly capacity?: number }[],
  partitions = MANY_PARTITIONS,
): string[] {
  return partitions.map((partition) =>
    partitionOwners.candidatesFor(partition, { partitions, hosts })[0]
  );
}

test("no host owns two partitions while another owns none", (t) => {
  const all = ["k", "l", "m", "n"].flatMap((more) =>
    ["x", "y", "z"].map((last) => [...HOSTS, more, last])
  );
  for (const hosts of all) {
    t.is(
      new Set(PARTITIONS.map((partition) => ownerOf(partition, hosts))).size,
      3,
    );
  }
});

test("partitions are spread evenly over fewer hosts than partitions", (t) => {
  const owners = PARTITIONS.map((partition) => ownerOf(partition, ["a", "b"]));
  t.is(new Set(owners).size, 2);
});

test("every host is a candidate for a partition", (t) => {
  const ranked = partitionOwners.candidatesFor("desk", {
    partitions: PARTITIONS,
    hosts: HOSTS.map((host) => ({ host })),
  });
  t.deepEqual([...ranked].sort(), HOSTS);
});

test("a lost host moves its own partition and at most the partitions after it", (t) => {
  const lost = ownerOf("ledger");
  const rest = HOSTS.filter((host) => host !== lost);
  t.is(ownerOf("billing", rest), ownerOf("billing"));
  t.is(ownerOf("desk", rest), ownerOf("desk"));
});

test("an unknown partition has its own ranking of hosts", (t) => {
  const ranked = partitionOwners.candidatesFor("new", {
    partitions: PARTITIONS,
    hosts: HOSTS.map((host) => ({ host })),
  });
  t.is(ranked.length, 4);
  t.deepEqual(
    partitionOwners.candidatesFor("desk", {
      partitions: PARTITIONS,
      hosts: [],
    }),
    [],
  );
});

// Guards against requests of all hosts that wait for one without processor time:
// most partitions belonged to the smallest hosts of an unequal fleet.
test("partitions are owned by hosts with much processor capacity", (t) => {
  for (const [small, large] of [[66, 21], [6, 2]]) {
    const partitions = MANY_PARTITIONS.slice(0, large);
    const owners = ownersAmong(unequalHosts(small, large), partitions);
    t.true(owners.every((owner) => owner.startsWith("large")), `${owners}`);
    t.is(new Set(owners).size, partitions.length);
  }
});

test("smaller hosts own partitions once each larger one owns one", (t) => {
  const owners = ownersAmong(unequalHosts(20, 5));
  t.is(owners.filter((owner) => owner.startsWith("large")).length, 5);
  t.is(new Set(owners).size, MANY_PARTITIONS.length);
});

test("hosts of similar capacity own partitions as hosts of equal capacity do", (t) => {
  const capacities = [0.5, 0.6, 0.8, 1];
  const similar = HOSTS.map((host, pos) => ({
    host,
    capacity: capacities[pos],
  }));
  t.deepEqual(
    ownersAmong(similar),
    ownersAmong(HOSTS.map((host) => ({ host }))),
  );
});

test("capacities do not count beside a host that announces none", (t) => {
  const hosts = [...unequalHosts(10, 4), { host: "of an earlier release" }];
  t.deepEqual(
    ownersAmong(hosts),
    ownersAmong(hosts.map(({ host }) => ({ host }))),
  );
});

test("a lost host moves its own partition to another large one", (t) => {
  const hosts = unequalHosts(66, 21);
  const before = ownersAmong(hosts);
  const lost = before.at(-1)!;
  const after = ownersAmong(hosts.filter(({ host }) => host !== lost));
  t.deepEqual(after.slice(0, -1), before.slice(0, -1));
  t.true(after.at(-1)!.startsWith("large"));
});
