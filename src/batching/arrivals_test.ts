/** @module */

import test from "ava";
import * as arrivals from "./arrivals.ts";

/** Pieces booked for many requests at time 0, all allowed so much time. */
function bookedAtOnce(count: number, allowed: number) {
  const known = arrivals.Arrivals.create();
  known.record({ request: "r", count, leadTime: allowed, bookedAt: 0 });
  return known;
}

test("what comes later with less time goes before what has more", (t) => {
  const known = bookedAtOnce(100, 500);
  // Until 1500 those that come have their turn before 2000.
  t.is(known.expectedAhead(2000, { wait: 400, now: 0 }), 40);
  t.is(known.expectedAhead(700, { wait: 400, now: 0 }), 20);
});

test("what comes later with as much time goes behind", (t) => {
  const known = bookedAtOnce(100, 500);
  t.is(known.expectedAhead(500, { wait: 400, now: 0 }), 0);
});

test("what was refused or is old is not expected again", (t) => {
  const refused = bookedAtOnce(100, 0);
  refused.removeRequest("r");
  t.is(refused.expectedAhead(2000, { wait: 400, now: 0 }), 0);
  const old = bookedAtOnce(100, 0);
  old.expire(1001);
  t.is(old.expectedAhead(3000, { wait: 400, now: 1001 }), 0);
});
