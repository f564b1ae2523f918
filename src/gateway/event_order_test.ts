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

/** Whether another answer may go on with an event. */
function mayGoOn(ids: readonly string[], next: string | undefined): boolean {
  return orderOf(ids)!.continued().next(next) !== undefined;
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

test("ids that are consecutive so far go on with the next number", (t) => {
  t.true(mayGoOn(["1", "2"], "3"));
  t.false(mayGoOn(["1", "2"], "4"));
  t.true(mayGoOn(["7", "8"], "9"));
  t.false(mayGoOn(["7", "8"], "10"));
  t.true(mayGoOn(["1", "3"], "7"));
  t.true(mayGoOn(["1", "2", "x", "3"], "7"));
});

test("a first number is one of consecutive ones only if it is 0 or 1", (t) => {
  t.false(mayGoOn(["0"], "2"));
  t.false(mayGoOn(["1"], "3"));
  t.true(mayGoOn(["2"], "4"));
});

test("one event behind that of a caller shows whether ids are consecutive", (t) => {
  const mayGoOnBehind = (ids: readonly string[], next: string) => {
    const from = eventOrders.EventOrder.create({ resumedAfter: "5" });
    const order = orderOf(ids, { from: from.continued() })!;
    return order.continued().next(next) !== undefined;
  };
  t.true(mayGoOnBehind([], "8"));
  t.false(mayGoOnBehind([], "5"));
  t.false(mayGoOnBehind(["6"], "8"));
  t.true(mayGoOnBehind(["8"], "10"));
});

test("a stream may go on anywhere while it has no events", (t) => {
  t.true(mayGoOn([], "9"));
  t.true(mayGoOn([], undefined));
});

// Guards against events that come twice: an answer to a call that does not say
// behind which event has all of them.
test("a stream is resumable behind an event whose id a header can hold", (t) => {
  const isResumable = (...ids: (string | undefined)[]) =>
    orderOf(ids)!.isResumable;
  t.true(isResumable());
  t.true(isResumable("1"));
  t.true(isResumable("a b"));
  t.true(isResumable("\u00c3\u00a9"));
  t.true(isResumable(undefined, "1"));
  t.false(isResumable(undefined));
  t.false(isResumable("1", undefined));
  for (const id of ["", " 1", "1 ", "1\t", "\u0000", "1\u00002"]) {
    t.false(isResumable("1", id), JSON.stringify(id));
  }
});
