/** @module */

import test from "ava";
import * as seats from "./partition_owners.ts";

const HOSTS = ["a", "b", "c", "d"];
const CELLS = ["billing", "desk", "ledger"];

function first(cell: string, hosts = HOSTS): string {
  return seats.candidatesFor(cell, { cells: CELLS, hosts })[0];
}

test("no host batches for two cells while one batches for none", (t) => {
  const all = ["k", "l", "m", "n"].flatMap((more) =>
    ["x", "y", "z"].map((last) => [...HOSTS, more, last])
  );
  for (const hosts of all) {
    t.is(new Set(CELLS.map((cell) => first(cell, hosts))).size, 3);
  }
});

test("with fewer hosts than cells each has about as many", (t) => {
  const seated = CELLS.map((cell) => first(cell, ["a", "b"]));
  t.is(new Set(seated).size, 2);
});

test("every host is named, in the order in which it would follow", (t) => {
  const ranked = seats.candidatesFor("desk", { cells: CELLS, hosts: HOSTS });
  t.deepEqual([...ranked].sort(), HOSTS);
});

test("a lost host moves its own cell and at most those behind it", (t) => {
  const lost = first("ledger");
  const rest = HOSTS.filter((host) => host !== lost);
  t.is(first("billing", rest), first("billing"));
  t.is(first("desk", rest), first("desk"));
});

test("a cell that is not among those known has its own order", (t) => {
  const ranked = seats.candidatesFor("new", { cells: CELLS, hosts: HOSTS });
  t.is(ranked.length, 4);
  t.deepEqual(seats.candidatesFor("desk", { cells: CELLS, hosts: [] }), []);
});
