/** @module */

import test from "ava";
import * as endpointLimits from "./endpoint_limit.ts";

const { EndpointLimit } = endpointLimits;

function advertised(limit: number, now: number) {
  return EndpointLimit.advertised("e", { limit, now });
}

test("a limit holds while responses advertise it", (t) => {
  t.is(advertised(4, 0).rate(5000), 4);
});

test("a limit of 0 allows occasional requests", (t) => {
  t.is(advertised(0, 0).rate(0), 0.25);
});

test("the rate ramps up once responses advertise no limit", (t) => {
  const ended = advertised(4, 0).end(1000);
  t.deepEqual([1000, 2000, 4000].map((now) => ended.rate(now)), [4, 8, 32]);
  t.is(ended.rate(7000), Infinity);
  t.is(ended.end(3000).endedAt, 1000);
});

test("a response that arrives out of order does not end a limit", (t) => {
  t.is(advertised(4, 1000).end(1100).endedAt, undefined);
});

test("the newer of two statements counts, in any order of arrival", (t) => {
  const old = advertised(4, 0);
  const next = advertised(1, 1000);
  const ended = next.end(2000);
  t.is(old.merge(next), next);
  t.is(next.merge(old), next);
  t.is(next.merge(ended), ended);
  t.is(ended.merge(advertised(2, 3000)).limit, 2);
});

test("the transit time of a message does not make a statement newer", (t) => {
  const first = advertised(4, 1000);
  const received = EndpointLimit.decode(first.encode(1500), 1520);
  t.is(first.merge(received), first);
});

test("a limit that responses no longer confirm expires", (t) => {
  t.false(advertised(4, 0).isExpired(60_000));
  t.true(advertised(4, 0).isExpired(60_001));
  t.true(advertised(4, 0).end(1000).isExpired(11_001));
});
