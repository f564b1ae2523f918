/** @module */

import test from "ava";
import * as pathTables from "./path_table.ts";

const [A, B, C] = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"];

test("endpoints are reached directly until a connection shows otherwise", (t) => {
  const table = pathTables.PathTable.create();
  t.is(table.pathTo(A), "direct");
  t.true(table.recordConnection(A, "relayed", 0));
  t.false(table.recordConnection(A, "relayed", 1));
  t.is(table.pathTo(A), "relayed");
  t.true(table.recordConnection(A, "none", 2));
  t.is(table.pathTo(A), "none");
  t.true(table.recordConnection(A, "direct", 3));
  t.false(table.recordConnection(A, "direct", 4));
  t.deepEqual(table.detours, []);
});

// Guards against a relay of all calls because one endpoint is out of reach.
test("one endpoint that only other hosts reach does not change the paths to others", (t) => {
  const table = pathTables.PathTable.create();
  table.recordConnection(A, "relayed", 10);
  t.false(table.isPartitioned);
  t.is(table.pathTo(B), "direct");
});

test("several endpoints that only other hosts reach show a partition", (t) => {
  const table = pathTables.PathTable.create();
  table.recordDirect(C, 0);
  table.recordConnection(A, "relayed", 10);
  table.recordConnection(B, "relayed", 11);
  t.true(table.isPartitioned);
  t.is(table.pathTo(C), "relayed");
});

test("endpoints that are lost on all paths do not show a partition", (t) => {
  const table = pathTables.PathTable.create();
  for (const address of [A, B]) table.recordConnection(address, "none", 10);
  t.false(table.isPartitioned);
  t.is(table.pathTo(C), "direct");
});

test("a byte from any endpoint refutes a partition", (t) => {
  const table = pathTables.PathTable.create();
  table.recordConnection(A, "relayed", 10);
  table.recordConnection(B, "relayed", 11);
  table.recordDirect(C, 12);
  t.false(table.isPartitioned);
  t.is(table.pathTo(C), "direct");
  t.is(table.pathTo(A), "relayed");
});

test("a direct connection ends a partition for all endpoints", (t) => {
  const table = pathTables.PathTable.create();
  for (const address of [A, B, C]) {
    table.recordConnection(address, "relayed", 10);
  }
  t.true(table.recordConnection(B, "direct", 20));
  t.deepEqual([A, B, C].map((address) => table.pathTo(address)), [
    "direct",
    "direct",
    "direct",
  ]);
});

test("without a partition, a direct connection shows one endpoint's path only", (t) => {
  const table = pathTables.PathTable.create();
  table.recordConnection(A, "relayed", 10);
  table.recordConnection(B, "relayed", 11);
  table.recordDirect(C, 12);
  table.recordConnection(B, "direct", 20);
  t.is(table.pathTo(A), "relayed");
  t.is(table.pathTo(B), "direct");
});

test("the epoch of connections changes with the path and with suspicions", (t) => {
  const table = pathTables.PathTable.create();
  const epochs = [table.epochOf(A)];
  table.recordSuspicion(A);
  epochs.push(table.epochOf(A));
  table.recordConnection(A, "relayed", 1);
  epochs.push(table.epochOf(A));
  table.recordConnection(A, "direct", 2);
  t.is(table.epochOf(A), epochs[1]);
  t.is(new Set(epochs).size, 3);
  t.is(table.epochOf(B), epochs[0]);
});

// Guards against calls on open connections that a partition has silenced.
test("open connections are not used once all endpoints are silent", (t) => {
  const table = pathTables.PathTable.create();
  table.recordDirect(A, 100);
  t.false(table.isSilent(B, 0, 1100));
  t.true(table.isSilent(B, 0, 1101));
  t.false(table.isSilent(B, 500, 1101));
  table.recordConnection(A, "relayed", 1200);
  table.recordConnection(B, "relayed", 1201);
  t.false(table.isSilent(B, 0, 2201));
  t.true(table.isSilent(B, 0, 2202));
  table.recordRelayed(A, 2100);
  t.false(table.isSilent(B, 0, 3100));
});

test("what others have sent on the same kind of path shows that it works", (t) => {
  const table = pathTables.PathTable.create();
  table.recordDirect(A, 100);
  t.true(table.hasHeardOthers(B, 100));
  t.false(table.hasHeardOthers(B, 101));
  t.false(table.hasHeardOthers(A, 0));
  table.forget(A);
  t.false(table.hasHeardOthers(B, 0));

  table.recordConnection(A, "relayed", 200);
  table.recordConnection(B, "relayed", 201);
  t.true(table.hasHeardOthers(A, 201));
  t.false(table.hasHeardOthers(A, 202));
});
