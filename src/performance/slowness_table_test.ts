/** @module */

import test from "ava";
import * as performance from "./mod.ts";

const SLOW = { endpoint: "slow", ratio: 2, count: 3 };
const FAST = { endpoint: "fast", ratio: 0.5, count: 3 };

/** Readable estimates. */
function read(table: performance.SlownessTable, now: number, isAll = true) {
  return Object.fromEntries(
    table.read({ now, isAll }).map(({ endpoint, ratio, count }) => [
      endpoint,
      `${ratio.toFixed(2)} of ${count}`,
    ]),
  );
}

test("observations of hosts are merged", (t) => {
  const table = performance.SlownessTable.create();
  table.record([SLOW, FAST], 0);
  table.merge([{ ...SLOW, ratio: 1, count: 3 }], 0);
  t.deepEqual(read(table, 0), { slow: "1.41 of 1", fast: "0.50 of 1" });
  table.merge([{ ...SLOW, ratio: 1.41, count: 9 }], 1000);
  t.deepEqual(read(table, 1000), { slow: "1.41 of 2", fast: "0.50 of 1" });
});

// Guards against observations that go around between control hosts and count
// several times.
test("only observations of entry hosts are forwarded, once", (t) => {
  const table = performance.SlownessTable.create();
  table.record([SLOW], 0);
  table.record([SLOW], 0);
  table.merge([FAST], 0);
  t.like(table.takeForwards(), [{ endpoint: "slow", count: 6 }]);
  t.deepEqual(table.takeForwards(), []);
});

test("changes of the last 2 s are told, to a new asker all estimates", (t) => {
  const table = performance.SlownessTable.create();
  table.record([SLOW], 0);
  table.record([FAST], 1500);
  t.deepEqual(Object.keys(read(table, 2500, false)), ["fast"]);
  t.deepEqual(Object.keys(read(table, 2500)), ["fast", "slow"]);
});

test("an estimate ends 60 s after its last observation", (t) => {
  const table = performance.SlownessTable.create();
  for (let at = -63_000; at <= 0; at += 1000) table.record([SLOW], at);
  table.expire(60_000);
  t.deepEqual(read(table, 60_000), { slow: "2.00 of 52" });
  table.expire(60_001);
  t.deepEqual(read(table, 60_001), {});
});
