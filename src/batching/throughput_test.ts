/** @module */

import test from "ava";
import * as throughputs from "./throughput.ts";

/** A throughput while the queue is saturated from 0 ms on, with calls every 100
 * ms until 1,000 ms. */
function saturatedWith(...calls: throughputs.StartedCall[]) {
  const measured = throughputs.Throughput.create();
  measured.recordSaturation(true, 0);
  for (let number = 1; number <= 10; number++) {
    measured.recordCall(calls[number % calls.length], 100 * number);
  }
  return measured;
}

/** A call of two large and three small results at an endpoint without memory
 * for another large one. */
const SHORT_OF_MEMORY: throughputs.StartedCall = {
  sizes: [3000, 3000, 8, 8, 8],
  passedOver: { size: 3000, reason: "memory" },
};

test("the measured throughput applies while the queue is saturated", (t) => {
  const measured = saturatedWith({ sizes: [8] });
  t.is(measured.pace(8, 0.02, 300).rate, 0.02);
  t.is(measured.pace(8, 0.02, 1000).rate, 0.01);
  t.is(measured.pace(8, 0.02, 1000).scarce, "calls");
  measured.recordSaturation(false, 1001);
  t.is(measured.pace(8, 0.02, 1500).rate, 0.02);
  t.is(measured.pace(8, 0.02, 1500).scarce, undefined);
});

test("items compete with all others while calls are full", (t) => {
  const pace = saturatedWith({ sizes: [3000, 8] }).pace(8, 0.02, 1000);
  t.true(pace.includes(8) && pace.includes(3000) && pace.includes(undefined));
});

test("where memory is short, large results wait for those that need it too", (t) => {
  const pace = saturatedWith(SHORT_OF_MEMORY).pace(3000, 0.06, 1000);
  t.is(pace.rate, 0.02);
  t.is(pace.scarce, "memory");
  t.true(pace.includes(3000) && !pace.includes(8));
});

// Guards against small results that are refused for a queue which waits for
// memory: they start with the next call.
test("where memory is short, small results get what calls have left", (t) => {
  const pace = saturatedWith(SHORT_OF_MEMORY).pace(8, 0.06, 1000);
  t.true(Math.abs(pace.rate - 0.04) < 1e-9);
  t.is(pace.scarce, "calls");
  t.true(pace.includes(8) && !pace.includes(3000));
});

// Guards against the same where large results wait for an endpoint in the data
// centre in which they are needed.
test("small results do not wait for the data centre that large ones wait for", (t) => {
  const call: throughputs.StartedCall = {
    sizes: [3000, 8],
    passedOver: { size: 3000, reason: "placement" },
  };
  const measured = saturatedWith(call);
  t.is(measured.pace(3000, 0.06, 1000).scarce, "placement");
  t.false(measured.pace(8, 0.06, 1000).includes(3000));
});

test("a single small item that is passed over does not hold up the others", (t) => {
  const exception: throughputs.StartedCall = {
    ...SHORT_OF_MEMORY,
    passedOver: { size: 8, reason: "placement" },
  };
  const usual = new Array(4).fill(SHORT_OF_MEMORY);
  const pace = saturatedWith(exception, ...usual).pace(8, 0.06, 1000);
  t.false(pace.includes(3000));
});

test("memory counts as scarce if it limits most calls", (t) => {
  const full = { sizes: [3000, 3000, 3000, 8, 8] };
  const pace = saturatedWith(SHORT_OF_MEMORY, full, full).pace(8, 0.06, 1000);
  t.true(pace.includes(3000));
});

test("items of unknown size compete with all others", (t) => {
  const pace = saturatedWith(SHORT_OF_MEMORY).pace(undefined, 0.06, 1000);
  t.is(pace.rate, 0.05);
  t.true(pace.includes(8) && pace.includes(3000));
});
