/** @module */

import test from "ava";
import * as partitionOwners from "./partition_owners.ts";

const HOSTS = ["a", "b", "c", "d"];
const PARTITIONS = ["billing", "desk", "ledger"];

function ownerOf(partition: string, hosts = HOSTS): string {
  return partitionOwners.candidatesFor(partition, {
    partitions: PARTITIONS,
    hosts,
  })[0];
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
    hosts: HOSTS,
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
    hosts: HOSTS,
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
