import test from "ava";
import * as share from "./slot_share.ts";

const SLOTS = 8;

/** A share of two endpoints that report these calls, with `own` in flight. */
function createShare(own: number, calls: number): share.SlotShare {
  const created = share.SlotShare.create();
  created.setEndpoints(new Map([["a", SLOTS], ["b", SLOTS]]));
  for (const id of ["a", "b"]) {
    const running = Math.min(SLOTS, calls / 2);
    const waiting = calls / 2 - running;
    created.report(id, { running, waiting, kvUsed: 0, at: 0 });
  }
  for (let i = 0; i < own; i++) created.addCalls(1);
  return created;
}

test("takes half of what is free", (t) => {
  t.is(createShare(0, 0).usableSlots(0), 8);
  t.is(createShare(4, 8).usableSlots(0), 12);
});

test("scales down with all others when calls wait at the endpoints", (t) => {
  t.is(createShare(16, 64).usableSlots(0), 5);
});

test("keeps room for one call", (t) => {
  t.is(createShare(0, 640).usableSlots(0), 1);
});

test("knows no bound without fresh reports", (t) => {
  t.is(createShare(1, 4).usableSlots(60_000), Infinity);
  t.is(share.SlotShare.create().usableSlots(0), Infinity);
});

test("hosts that start unevenly settle at even shares of the slots", (t) => {
  let windows = [16, 1, 1, 1];
  for (let round = 0; round < 60; round++) {
    const calls = windows.reduce((sum, own) => sum + own, 0);
    windows = windows.map((own) => {
      const scaled = createShare(0, calls);
      for (let i = 0; i < own; i++) scaled.addCalls(1);
      // As if another call started while fewer than that were in flight.
      return Math.ceil(scaled.usableSlots(0));
    });
  }
  const total = windows.reduce((sum, own) => sum + own, 0);
  t.true(total >= 16 && total <= 24, `${windows}`);
  t.true(Math.max(...windows) <= 2 * Math.min(...windows), `${windows}`);
});
