/** @module */

import test from "ava";
import * as endpointLimits from "./endpoint_limit.ts";

const { EndpointLimit } = endpointLimits;

function named(limit: number, now: number) {
  return EndpointLimit.advertised("e", { limit, now });
}

test("a limit holds while answers name it", (t) => {
  t.is(named(4, 0).rate(5000), 4);
});

test("an endpoint that takes none is asked now and then", (t) => {
  t.is(named(0, 0).rate(0), 0.25);
});

test("a limit ends by a ramp once answers name none", (t) => {
  const ended = named(4, 0).end(1000);
  t.deepEqual([1000, 2000, 4000].map((now) => ended.rate(now)), [4, 8, 32]);
  t.is(ended.rate(7000), Infinity);
  t.is(ended.end(3000).endedAt, 1000);
});

test("an answer that was overtaken does not end a limit", (t) => {
  t.is(named(4, 1000).end(1100).endedAt, undefined);
});

test("of two statements the newer counts, whoever hears it first", (t) => {
  const old = named(4, 0);
  const next = named(1, 1000);
  const ended = next.end(2000);
  t.is(old.merge(next), next);
  t.is(next.merge(old), next);
  t.is(next.merge(ended), ended);
  t.is(ended.merge(named(2, 3000)).limit, 2);
});

test("a statement on its way between hosts does not get newer", (t) => {
  const first = named(4, 1000);
  const told = EndpointLimit.decode(first.encode(1500), 1520);
  t.is(first.merge(told), first);
});

test("what no answer says any more is forgotten", (t) => {
  t.false(named(4, 0).isExpired(60_000));
  t.true(named(4, 0).isExpired(60_001));
  t.true(named(4, 0).end(1000).isExpired(11_001));
});
