/** @module */

import test from "ava";
import * as performance from "./mod.ts";

/** The estimate after `count` observations of `ratio`, a second apart. */
function observed(
  ratio: number,
  count: number,
  from = performance.Slowness.PRIOR,
) {
  return Array.from({ length: count }).reduce<performance.Slowness>(
    (estimate, _, pos) => estimate.observe(ratio, 1000 * pos),
    from,
  );
}

test("without observations the slowness is 1", (t) => {
  t.is(performance.Slowness.PRIOR.value(0), 1);
  t.is(performance.Slowness.PRIOR.evidence(0), 0);
});

// Guards against one slow call that keeps an endpoint from getting others.
test("one observation counts for a fifth, and is clamped to 1/8 to 8", (t) => {
  const { PRIOR } = performance.Slowness;
  const lasting = (ratio: number) => PRIOR.observe(ratio, 0).lasting(0);
  t.is(lasting(2).toFixed(9), (2 ** 0.2).toFixed(9));
  t.is(lasting(1e9).toFixed(9), (8 ** 0.2).toFixed(9));
  t.is(lasting(0).toFixed(9), (8 ** -0.2).toFixed(9));
  t.is(lasting(NaN), 1);
});

test("many observations outweigh the prior, and a change is followed", (t) => {
  const slow = observed(2, 200);
  t.true(slow.lasting(199_000) > 1.9);
  t.is(slow.evidence(199_000), 64);
  const changed = Array.from({ length: 150 }).reduce<performance.Slowness>(
    (estimate, _, pos) => estimate.observe(1, 200_000 + 1000 * pos),
    slow,
  );
  t.true(changed.lasting(349_000) < 1.1);
});

test("the momentary slowness follows several observations and fades", (t) => {
  const slow = [64_010, 64_020, 64_030, 64_040, 64_050].reduce(
    (estimate, now) => estimate.observe(4, now),
    observed(1, 64),
  );
  t.true(slow.value(64_050) > 2);
  t.true(slow.lasting(64_050) < 1.15);
  t.true(slow.value(64_050 + 3000) < 1.15);
});

test("an announced slowness applies in full and halves every 300 ms", (t) => {
  const announced = performance.Slowness.PRIOR.announce(4, 0);
  t.is(announced.lasting(0), 1);
  t.is(Math.round(1000 * announced.value(0)), 4000);
  t.is(Math.round(1000 * announced.value(300)), 2000);
});

// Guards against an endpoint that is never called again because it was slow.
test("evidence decays, and the lasting slowness returns to 1", (t) => {
  const slow = observed(2, 8);
  t.is(slow.evidence(7000 + 4999), 8);
  t.is(slow.evidence(7000 + 5000), 7);
  t.true(slow.lasting(7000 + 20_000) < slow.lasting(7000));
  t.is(slow.lasting(7000 + 40_000), 1);
});

test("a report adds as much as its observations one by one", (t) => {
  const { PRIOR } = performance.Slowness;
  const report = { endpoint: "e", ratio: 2, count: 10 };
  const oneByOne = Array.from({ length: 10 }).reduce<performance.Slowness>(
    (estimate, _, pos) => estimate.observe(2, 90 * pos),
    PRIOR.observe(1, -1000),
  );
  t.deepEqual(
    PRIOR.observe(1, -1000).add(report, 810).lasting(810).toFixed(9),
    oneByOne.lasting(810).toFixed(9),
  );
  t.is(
    PRIOR.announce(3, 0).add(report, 0).value(0).toFixed(9),
    (3 * PRIOR.add(report, 0).lasting(0)).toFixed(9),
  );
});

// Guards against a moment of an endpoint's machine, or a queue there, that many
// calls see and that looks like many independent observations.
test("observations within a second count as one, by their mean", (t) => {
  const { PRIOR } = performance.Slowness;
  const moment = [0, 100, 200, 999].reduce(
    (estimate, now) => estimate.observe(now < 200 ? 1 : 4, now),
    PRIOR,
  );
  t.is(moment.evidence(999), 1);
  t.is(moment.lasting(999).toFixed(9), (2 ** 0.2).toFixed(9));
  t.is(moment.observe(2, 1000).evidence(1000), 2);
});
