/** @module */

import test from "ava";
import * as bounds from "./bound.ts";
import * as deployments from "./deployment.ts";
import * as loads from "./load.ts";

const PARTY = deployments.party();
const LENGTH = 10_000;

function requestsOf(factor: number) {
  const bursts = [{ at: 0, length: LENGTH, factor }];
  return loads.requests(PARTY, { seed: 1, length: LENGTH, bursts });
}

test("a calm load could be served whole", (t) => {
  t.is(bounds.boundOf(PARTY, requestsOf(1)).share, 1);
});

test("of more than endpoints can make the dearest part is served", (t) => {
  const { share: double } = bounds.boundOf(PARTY, requestsOf(3));
  const { share: more } = bounds.boundOf(PARTY, requestsOf(5));
  t.true(double < 1);
  t.true(more < double);
  // What is late still earns a part.
  t.true(more > 0.15);
});

test("a bound names what is short", (t) => {
  const makers = {
    ...PARTY.makers,
    payouts: { ...PARTY.makers.payouts, counts: { a: 1 } },
  };
  const bound = bounds.boundOf({ ...PARTY, makers }, requestsOf(2));
  t.is(bound.resource, "payouts");
});
