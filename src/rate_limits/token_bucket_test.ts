/** @module */

import test from "ava";
import * as tokenBuckets from "./token_bucket.ts";

const { TokenBucket } = tokenBuckets;

/** Tokens that are taken where one is asked for each 10 ms. */
function taken(bucket: tokenBuckets.TokenBucket, from: number, to: number) {
  let count = 0;
  for (let now = from; now < to; now += 10) {
    if (bucket.take(now) === 0) count++;
  }
  return count;
}

test("a bucket begins empty, and says when there is a token", (t) => {
  const bucket = TokenBucket.create(2, 1000);
  t.is(bucket.take(1000), 500);
  t.is(bucket.take(1250), 250);
  t.is(bucket.take(1500), 0);
});

test("a bucket gives tokens at its rate", (t) => {
  t.is(taken(TokenBucket.create(1.5, 0), 0, 20_000), 29);
  t.is(taken(TokenBucket.create(20, 0), 0, 2000), 39);
});

test("what gathers is bounded", (t) => {
  const bucket = TokenBucket.create(20, 0);
  t.is(bucket.take(60_000), 0);
  t.is(taken(bucket, 60_000, 60_010), 1);
  t.is(taken(TokenBucket.create(0.5, 0), 60_000, 60_100), 1);
});

test("a bucket without a rate gives none, until it has one", (t) => {
  const bucket = TokenBucket.create(0, 0);
  t.is(bucket.take(5000), Infinity);
  bucket.setRate(1, 5000);
  t.is(bucket.take(6000), 0);
});
