/** @module */

import test from "ava";
import * as pathTables from "./path_table.ts";

const [A, B, C] = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"];

/** Records that other hosts reach an endpoint that this one does not. */
function prove(table: pathTables.PathTable, address: string, now: number) {
  return table.recordRelayedConnection(address, { isDirectTried: true, now });
}

test("endpoints are reached directly until a connection shows otherwise", (t) => {
  const table = pathTables.PathTable.create();
  t.is(table.pathTo(A, 0), "direct");
  t.true(prove(table, A, 0));
  t.false(prove(table, A, 1));
  t.is(table.pathTo(A, 1), "relayed");
  t.true(table.recordLoss(A, 2));
  t.is(table.pathTo(A, 2), "none");
  t.true(table.recordDirectConnection(A, 3));
  t.false(table.recordDirectConnection(A, 4));
  t.deepEqual(table.detours, []);
});

// Guards against a relay of all calls because one endpoint is out of reach.
test("one endpoint that only other hosts reach does not change the paths to others", (t) => {
  const table = pathTables.PathTable.create();
  prove(table, A, 10);
  t.false(table.isPartitioned(5000));
  t.is(table.pathTo(B, 5000), "direct");
});

test("several endpoints that only other hosts reach show a partition", (t) => {
  const table = pathTables.PathTable.create();
  table.recordDirect(C, 0);
  prove(table, A, 10);
  prove(table, B, 11);
  t.false(table.isPartitioned(1000));
  t.true(table.isPartitioned(1001));
  t.is(table.pathTo(C, 1001), "relayed");
});

test("endpoints that are lost on all paths do not show a partition", (t) => {
  const table = pathTables.PathTable.create();
  for (const address of [A, B]) table.recordLoss(address, 10);
  t.false(table.isPartitioned(5000));
  t.is(table.pathTo(C, 5000), "direct");
});

// Guards against detours of endpoints in reach, beside others that are not.
test("a byte from any endpoint refutes a partition", (t) => {
  const table = pathTables.PathTable.create();
  prove(table, A, 10);
  prove(table, B, 11);
  t.true(table.isPartitioned(400));
  table.recordDirect(C, 401);
  t.false(table.isPartitioned(5000));
  t.is(table.pathTo(C, 5000), "direct");
  t.is(table.pathTo(A, 5000), "relayed");
});

// Guards against endpoints that stay relayed after a partition without a proof
// that their direct path had failed.
test("a relayed connection during a partition proves nothing of its endpoint", (t) => {
  const table = pathTables.PathTable.create();
  prove(table, A, 10);
  prove(table, B, 11);
  const now = 400;
  t.false(
    table.recordRelayedConnection(C, { isDirectTried: false, now }),
  );
  t.is(table.pathTo(C, now), "relayed");
  table.recordDirectConnection(A, 500);
  t.is(table.pathTo(C, 2000), "direct");
  t.is(table.pathTo(B, 2000), "relayed");
});

test("an endpoint that was lost may be reached through another host", (t) => {
  const table = pathTables.PathTable.create();
  prove(table, A, 10);
  prove(table, B, 11);
  table.recordLoss(C, 20);
  t.is(table.pathTo(C, 400), "none");
  table.recordRelayedConnection(C, { isDirectTried: false, now: 400 });
  t.is(table.pathTo(C, 400), "relayed");
});

test("the epoch of connections changes with the path and with suspicions", (t) => {
  const table = pathTables.PathTable.create();
  const epochs = [table.epochOf(A, 0)];
  table.recordSuspicion(A);
  epochs.push(table.epochOf(A, 0));
  prove(table, A, 1);
  epochs.push(table.epochOf(A, 1));
  // Connections from before a detour may be tunnels, or dead.
  table.recordDirectConnection(A, 2);
  epochs.push(table.epochOf(A, 2));
  t.is(new Set(epochs).size, 4);
  t.is(table.epochOf(B, 2), epochs[0]);
});

// Guards against calls on open connections that a partition has silenced.
test("open connections are not used once all endpoints are silent", (t) => {
  const table = pathTables.PathTable.create();
  table.recordDirect(A, 100);
  t.false(table.isSilent(B, 0, 1100));
  t.true(table.isSilent(B, 0, 1101));
  t.false(table.isSilent(B, 500, 1101));
  prove(table, A, 1200);
  prove(table, B, 1201);
  t.false(table.isSilent(B, 0, 2201));
  t.true(table.isSilent(B, 0, 2202));
  table.recordRelayed(A, 2100);
  t.false(table.isSilent(B, 0, 3100));
});

test("what others have sent on the same kind of path shows that it works", (t) => {
  const table = pathTables.PathTable.create();
  const hasReceived = (address: string, since: number) =>
    table.hasReceivedFromOthers(address, { since, now: 1000 });
  table.recordDirect(A, 100);
  t.true(hasReceived(B, 100));
  t.false(hasReceived(B, 101));
  t.false(hasReceived(A, 0));
  table.forget(A);
  t.false(hasReceived(B, 0));
  prove(table, A, 200);
  prove(table, B, 201);
  t.true(hasReceived(A, 201));
  t.false(hasReceived(A, 202));
});
