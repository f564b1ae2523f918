/** @module */

import test from "ava";
import * as arrivals from "./arrivals.ts";

/** Reservations of `count` items at time 0, all with the same lead time. */
function reservedAtOnce(count: number, leadTime: number) {
  const recent = arrivals.Arrivals.create();
  recent.record({ request: "r", count, leadTime, reservedAt: 0 });
  return recent;
}

/** The period of `wait` milliseconds from `now`, for items of any size. */
function periodOf(wait: number, now = 0) {
  return { wait, now, includes: () => true };
}

test("later arrivals with an earlier deadline are expected ahead", (t) => {
  const recent = reservedAtOnce(100, 500);
  // Items that arrive before 1500 have a virtual deadline before 2000.
  t.is(recent.expectedAhead(2000, periodOf(400)), 40);
  t.is(recent.expectedAhead(700, periodOf(400)), 20);
});

test("later arrivals with the same lead time are not expected ahead", (t) => {
  const recent = reservedAtOnce(100, 500);
  t.is(recent.expectedAhead(500, periodOf(400)), 0);
});

test("rejected requests and old reservations predict no arrivals", (t) => {
  const refused = reservedAtOnce(100, 0);
  refused.removeRequest("r");
  t.is(refused.expectedAhead(2000, periodOf(400)), 0);
  const old = reservedAtOnce(100, 0);
  old.expire(1001);
  t.is(old.expectedAhead(3000, periodOf(400, 1001)), 0);
});

// Guards against a forecast that counts arrivals which wait for another
// resource.
test("only arrivals of an included size are expected ahead", (t) => {
  const recent = arrivals.Arrivals.create();
  const arrival = { request: "r", leadTime: 500, reservedAt: 0 };
  recent.record({ ...arrival, count: 100, bytes: 3000 });
  recent.record({ ...arrival, count: 10, bytes: 8 });
  const includes = (size = Infinity) => size < 3000;
  t.is(recent.expectedAhead(2000, { wait: 400, now: 0, includes }), 4);
});
