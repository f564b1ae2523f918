/** @module */

import test from "ava";
import * as reservations from "./reservations.ts";

/** Reservations of 10 items each, due at the times given. */
function reservedFor(...dueTimes: number[]) {
  const pending = reservations.Reservations.create();
  dueTimes.forEach((time, number) =>
    pending.add(
      { request: `r${number}`, stage: 0, count: 10, dueAt: time, rank: 0 },
      0,
    )
  );
  return pending;
}

/** An empty queue from which 0.1 items of any size start per millisecond. */
const EMPTY_QUEUE = {
  waiting: 0,
  pace: { rate: 0.1, includes: () => true },
  now: 0,
};

test("the wait covers queued tasks and earlier reservations", (t) => {
  const pending = reservedFor(500, 900);
  t.is(pending.estimateWait(500, EMPTY_QUEUE), 100);
  t.is(pending.estimateWait(499, EMPTY_QUEUE), 0);
  t.is(pending.estimateWait(499, { ...EMPTY_QUEUE, waiting: 4 }), 40);
});

test("a reservation with a higher rank number has a later virtual deadline", (t) => {
  const pending = reservations.Reservations.create();
  const reservation = { request: "r", stage: 0, count: 10, dueAt: 500 };
  pending.add({ ...reservation, rank: 1 }, 0);
  t.is(pending.estimateWait(899, EMPTY_QUEUE), 0);
  t.is(pending.estimateWait(900, EMPTY_QUEUE), 100);
});

test("submitted and cancelled items do not count as reserved", (t) => {
  const pending = reservedFor(500, 500);
  pending.remove({ request: "r0", stage: 0 });
  t.is(pending.estimateWait(500, EMPTY_QUEUE), 100);
  pending.removeRequest("r1");
  t.is(pending.estimateWait(500, EMPTY_QUEUE), 0);
});

test("a reservation that is not fulfilled in time is dropped", (t) => {
  const pending = reservedFor(500);
  pending.expire(1500);
  t.is(pending.estimateWait(500, { ...EMPTY_QUEUE, now: 1500 }), 100);
  pending.expire(1501);
  t.is(pending.estimateWait(500, { ...EMPTY_QUEUE, now: 1501 }), 0);
});

test("only reservations of an included size are waited for", (t) => {
  const pending = reservations.Reservations.create();
  const reservation = { stage: 0, count: 10, dueAt: 500, rank: 0 };
  pending.add({ ...reservation, request: "large", bytes: 3000 }, 0);
  pending.add({ ...reservation, request: "small", bytes: 8 }, 0);
  const includes = (size = Infinity) => size < 3000;
  const pace = { rate: 0.1, includes };
  t.is(pending.estimateWait(500, { ...EMPTY_QUEUE, pace }), 100);
});

// Guards against a request that renews its reservation while it waits, and
// counts as another arrival each time.
test("a renewed reservation is one arrival", (t) => {
  const pending = reservations.Reservations.create();
  const reservation = { request: "r", stage: 0, count: 100, rank: 0 };
  for (let renewal = 0; renewal < 3; renewal++) {
    pending.add({ ...reservation, dueAt: 500 }, 0);
  }
  pending.remove(reservation);
  const queue = { ...EMPTY_QUEUE, waiting: 10 };
  // Four steps of the estimate, each with 100 items more a second of waiting.
  t.is(pending.estimateWait(5000, queue), 500);
});
