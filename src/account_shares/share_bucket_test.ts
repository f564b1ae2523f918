/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as shareBuckets from "./share_bucket.ts";

const NEW = { isReturning: false };
const RETURNING = { isReturning: true };

/** Admits as many requests as possible at one time. */
function admitAll(
  bucket: shareBuckets.ShareBucket,
  { now, cost = 1, isReturning = false }: {
    now: number;
    cost?: number;
    isReturning?: boolean;
  },
): number {
  let count = 0;
  while (bucket.admits(now, { isReturning })) {
    bucket.charge(cost, now);
    count++;
  }
  return count;
}

test("an account that sends at its rate is never refused", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  for (let now = 1; now < 5000; now += 100) {
    t.true(bucket.admits(now, NEW));
    bucket.charge(1, now);
  }
});

// Load: 1,000 requests per second against a share of 10.
test("a flood gets its share", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  let admitted = 0;
  for (let now = 1; now <= 10_000; now++) {
    if (!bucket.admits(now, NEW)) continue;
    bucket.charge(1, now);
    admitted++;
  }
  t.true(admitted >= 99 && admitted <= 101, `${admitted}`);
});

test("an idle account saves up one second of its share", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  t.is(admitAll(bucket, { now: 60_000 }), 10);
});

// Guards against requests that cost more than a second of the share and that
// would never pass.
test("a large request passes and leaves a debt", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  t.is(admitAll(bucket, { now: 1, cost: 50 }), 1);
  t.true(Math.abs(bucket.wait(1) - 4999) < 1);
  t.false(bucket.admits(4900, NEW));
  t.true(bucket.admits(5100, NEW));
});

test("returning callers go before new requests of the account", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  admitAll(bucket, { now: 2000 });
  t.false(bucket.admits(2000, NEW));
  t.is(admitAll(bucket, { now: 2000, ...RETURNING }), 10);
  t.false(bucket.admits(2900, NEW));
});

// Load: callers who wait for more than a second of the new rate. Guards against
// endpoints that deny some of those who are admitted in one moment.
test("after a rise of the rate, callers who wait are admitted over two seconds", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  admitAll(bucket, { now: 2000, ...RETURNING });
  bucket.setRate(100, 2000);
  const options = { ...RETURNING };
  t.is(admitAll(bucket, { now: 2000, ...options }), 0);
  t.is(admitAll(bucket, { now: 2100, ...options }), 15);
});

// Guards against accounts that are refused until they have paid, at a low rate,
// for what a higher rate allowed.
test("what returning callers were allowed falls with the rate", (t) => {
  const bucket = shareBuckets.ShareBucket.create(100, 0);
  admitAll(bucket, { now: 2000, ...RETURNING });
  bucket.setRate(10, 2000);
  t.is(bucket.level(2000), -10);
  bucket.charge(50, 2000);
  bucket.setRate(10, 2000);
  t.is(bucket.level(2000), -60, "the debt of a large request stays");
});

test("a refund makes room again", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  bucket.charge(50, 100);
  bucket.charge(-50, 100);
  t.true(bucket.admits(100, NEW));
});

test("a debt is paid at the present rate", (t) => {
  const bucket = shareBuckets.ShareBucket.create(10, 0);
  bucket.charge(10, 0);
  bucket.setRate(100, 0);
  t.is(bucket.wait(0), 100);
  bucket.setRate(0, 0);
  t.is(bucket.wait(0), Infinity);
});

// Load: requests of one account that come at random to one of 80 hosts, 0.5 per
// second against a share of 0.4. Guards against a share of which half is lost,
// since each request is followed by seconds without room.
test("a share of less than a request per second is used", (t) => {
  const random = runtime.createMixedRandom(1);
  const bucket = shareBuckets.ShareBucket.create(0.4, 0);
  let admitted = 0;
  let now = 0;
  while (now < 1_000_000) {
    now += -2000 * Math.log(1 - random.next());
    if (!bucket.admits(now, NEW)) continue;
    bucket.charge(1, now);
    admitted++;
  }
  t.true(admitted > 0.8 * 400 && admitted <= 401, `${admitted}`);
});
