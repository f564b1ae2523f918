import test from "ava";
import * as slotShare from "./slot_share.ts";

const SLOTS = 8;

/** Creates a share of two endpoints that report `calls` calls in all, with
 * `own` calls of this host in flight. */
function createShare(own: number, calls: number): slotShare.SlotShare {
  const created = slotShare.SlotShare.create();
  created.setEndpoints(new Map([["a", SLOTS], ["b", SLOTS]]));
  for (const id of ["a", "b"]) {
    const running = Math.min(SLOTS, calls / 2);
    const waiting = calls / 2 - running;
    created.report(id, { running, waiting, kvUsed: 0, at: 0 });
  }
  for (let i = 0; i < own; i++) created.addCalls(1);
  return created;
}

test("takes half of the free slots", (t) => {
  t.is(createShare(0, 0).usableSlots(0), 8);
  t.is(createShare(4, 8).usableSlots(0), 12);
});

test("scales down in proportion when calls wait at the endpoints", (t) => {
  t.is(createShare(16, 64).usableSlots(0), 5);
});

test("keeps at least one slot", (t) => {
  t.is(createShare(0, 640).usableSlots(0), 1);
});

test("is unbounded without recent reports", (t) => {
  t.is(createShare(1, 4).usableSlots(60_000), Infinity);
  t.is(slotShare.SlotShare.create().usableSlots(0), Infinity);
});

test("uneven shares of hosts converge to even ones", (t) => {
  let windows = [16, 1, 1, 1];
  for (let round = 0; round < 60; round++) {
    const calls = windows.reduce((sum, own) => sum + own, 0);
    windows = windows.map((own) => {
      const scaled = createShare(0, calls);
      for (let i = 0; i < own; i++) scaled.addCalls(1);
      // A host starts another call while fewer than its share are in flight.
      return Math.ceil(scaled.usableSlots(0));
    });
  }
  const total = windows.reduce((sum, own) => sum + own, 0);
  t.true(total >= 16 && total <= 24, `${windows}`);
  t.true(Math.max(...windows) <= 2 * Math.min(...windows), `${windows}`);
});
