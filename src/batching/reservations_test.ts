/** @module */

import test from "ava";
import * as bookings from "./reservations.ts";

/** Bookings of 10 pieces each, wanted at the times given. */
function bookedFor(...wanted: number[]) {
  const known = bookings.Reservations.create();
  wanted.forEach((time, number) =>
    known.add(
      { request: `r${number}`, stage: 0, count: 10, dueAt: time, rank: 0 },
      0,
    )
  );
  return known;
}

/** A tenth of a piece is begun in a millisecond. */
const AT_ONCE = { waiting: 0, rate: 0.1, now: 0 };

test("a turn comes behind what waits and what is booked before it", (t) => {
  const known = bookedFor(500, 900);
  t.is(known.estimateWait(500, AT_ONCE), 100);
  t.is(known.estimateWait(499, AT_ONCE), 0);
  t.is(known.estimateWait(499, { ...AT_ONCE, waiting: 4 }), 40);
});

test("a higher rank lets a piece go behind", (t) => {
  const known = bookings.Reservations.create();
  const booking = { request: "r", stage: 0, count: 10, dueAt: 500 };
  known.add({ ...booking, rank: 1 }, 0);
  t.is(known.estimateWait(899, AT_ONCE), 0);
  t.is(known.estimateWait(900, AT_ONCE), 100);
});

test("what has been asked for or dropped is not booked any more", (t) => {
  const known = bookedFor(500, 500);
  known.remove({ request: "r0", stage: 0 });
  t.is(known.estimateWait(500, AT_ONCE), 100);
  known.removeRequest("r1");
  t.is(known.estimateWait(500, AT_ONCE), 0);
});

test("what did not come in time is forgotten", (t) => {
  const known = bookedFor(500);
  known.expire(1500);
  t.is(known.estimateWait(500, { ...AT_ONCE, now: 1500 }), 100);
  known.expire(1501);
  t.is(known.estimateWait(500, { ...AT_ONCE, now: 1501 }), 0);
});
