/** @module */

import test from "ava";
import * as arrivals from "./arrivals.ts";

/** Reservations of `count` items at time 0, all with the same lead time. */
function reservedAtOnce(count: number, leadTime: number) {
  const recent = arrivals.Arrivals.create();
  recent.record({ request: "r", count, leadTime, reservedAt: 0 });
  return recent;
}

test("later arrivals with an earlier deadline are expected ahead", (t) => {
  const recent = reservedAtOnce(100, 500);
  // Items that arrive before 1500 have a virtual deadline before 2000.
  t.is(recent.expectedAhead(2000, { wait: 400, now: 0 }), 40);
  t.is(recent.expectedAhead(700, { wait: 400, now: 0 }), 20);
});

test("later arrivals with the same lead time are not expected ahead", (t) => {
  const recent = reservedAtOnce(100, 500);
  t.is(recent.expectedAhead(500, { wait: 400, now: 0 }), 0);
});

test("rejected requests and old reservations predict no arrivals", (t) => {
  const refused = reservedAtOnce(100, 0);
  refused.removeRequest("r");
  t.is(refused.expectedAhead(2000, { wait: 400, now: 0 }), 0);
  const old = reservedAtOnce(100, 0);
  old.expire(1001);
  t.is(old.expectedAhead(3000, { wait: 400, now: 1001 }), 0);
});
