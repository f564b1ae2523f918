/** @module */

import test from "ava";
import * as eventOrders from "./event_order.ts";

/** Order behind events; undefined if they can't follow each other. */
function orderOf(
  ids: readonly (string | undefined)[],
  { from = eventOrders.EventOrder.create() } = {},
): eventOrders.EventOrder | undefined {
  return ids.reduce<eventOrders.EventOrder | undefined>(
    (order, id) => order?.next(id),
    from,
  );
}

test("numbers increase", (t) => {
  t.truthy(orderOf(["1", "2", "9", "10"]));
  t.truthy(orderOf(["1", "x", undefined, "2"]));
  t.falsy(orderOf(["1", "x", undefined, "1"]));
  t.falsy(orderOf(["10", "9"]));
  t.falsy(orderOf(["1", "01"]));
});

// Guards against events that seem to come twice, or not to, as a double rounds
// their ids.
test("numbers may have more digits than a double", (t) => {
  t.truthy(orderOf(["9007199254740992", "9007199254740993"]));
  t.falsy(orderOf(["9007199254740993", "9007199254740992"]));
  const long = "1".repeat(200);
  t.truthy(orderOf([long, long]));
});
