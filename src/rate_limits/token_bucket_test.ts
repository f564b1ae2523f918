/** @module */

import test from "ava";
import * as tokenBuckets from "./token_bucket.ts";

const { TokenBucket } = tokenBuckets;

/** Number of tokens taken if one is requested every 10 ms. */
function taken(bucket: tokenBuckets.TokenBucket, from: number, to: number) {
  let count = 0;
  for (let now = from; now < to; now += 10) {
    if (bucket.take(now) === 0) count++;
  }
  return count;
}

test("a bucket starts empty and returns the time until the next token", (t) => {
  const bucket = TokenBucket.create(2, 1000);
  t.is(bucket.take(1000), 500);
  t.is(bucket.take(1250), 250);
  t.is(bucket.take(1500), 0);
});

test("a bucket grants tokens at its rate", (t) => {
  t.is(taken(TokenBucket.create(1.5, 0), 0, 20_000), 29);
  t.is(taken(TokenBucket.create(20, 0), 0, 2000), 39);
});

test("the tokens of an unused bucket are bounded", (t) => {
  const bucket = TokenBucket.create(20, 0);
  t.is(bucket.take(60_000), 0);
  t.is(taken(bucket, 60_000, 60_010), 1);
  t.is(taken(TokenBucket.create(0.5, 0), 60_000, 60_100), 1);
});

test("a bucket with rate 0 grants no tokens until its rate is raised", (t) => {
  const bucket = TokenBucket.create(0, 0);
  t.is(bucket.take(5000), Infinity);
  bucket.setRate(1, 5000);
  t.is(bucket.take(6000), 0);
});

test("a bucket may go into debt by a withdrawal", (t) => {
  const bucket = TokenBucket.create(10, 0);
  bucket.withdraw(5, 0);
  t.is(bucket.level(0), -5);
  t.is(bucket.level(400), -1);
  t.is(bucket.take(400), 200);
});

test("a bucket of another burst holds as much", (t) => {
  const options = { burst: 1, minBurst: 0 };
  t.is(TokenBucket.create(10, 0, options).level(60_000), 10);
  t.is(TokenBucket.create(0.5, 0, options).level(60_000), 0.5);
});
