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

/** A full call of results with these sizes. */
function fullCall(...sizes: number[]): throughputs.StartedCall {
  return { sizes, freePlaces: 0 };
}

/** A call of two large and three small results, with three places left, at an
 * endpoint without memory for another large one. */
const SHORT_OF_MEMORY: throughputs.StartedCall = {
  sizes: [3000, 3000, 8, 8, 8],
  passedOver: { size: 3000, reason: "memory" },
  freePlaces: 3,
};

/** The same where large results wait for the data centre of their data. */
const SHORT_OF_LOCAL: throughputs.StartedCall = {
  ...SHORT_OF_MEMORY,
  passedOver: { size: 3000, reason: "placement" },
};

test("the measured throughput applies while the queue is saturated", (t) => {
  const measured = saturatedWith(fullCall(8));
  t.is(measured.paces(8, 0.02, 300)[0].rate, 0.02);
  t.like(measured.paces(8, 0.02, 1000), [{ rate: 0.01, scarce: "calls" }]);
  measured.recordSaturation(false, 1001);
  t.like(measured.paces(8, 0.02, 1500), [{ rate: 0.02, scarce: undefined }]);
});

test("items compete with all others while calls are full", (t) => {
  const paces = saturatedWith(fullCall(3000, 8)).paces(8, 0.02, 1000);
  t.is(paces.length, 1);
  const [{ includes }] = paces;
  t.true(includes(8) && includes(3000) && includes(undefined));
});

for (const call of [SHORT_OF_MEMORY, SHORT_OF_LOCAL]) {
  const { reason } = call.passedOver!;
  test(`large results that are passed over wait for one another (${reason})`, (t) => {
    const paces = saturatedWith(call).paces(3000, 0.06, 1000);
    t.like(paces, [{ rate: 0.02, scarce: reason }]);
    t.true(paces[0].includes(3000) && !paces[0].includes(8));
  });

  // Guards against small results that are refused for a queue of large ones,
  // which calls pass over.
  test(`small results take the places that calls have left (${reason})`, (t) => {
    const [all, free] = saturatedWith(call).paces(8, 0.06, 1000);
    t.like(all, { rate: 0.05, scarce: "calls" });
    t.like(free, { rate: 0.03, takesFreePlaces: true });
    t.true(free.includes(8) && !free.includes(3000));
  });
}

test("large results wait for all others if few calls pass over them", (t) => {
  const full = fullCall(3000, 3000, 3000, 8, 8);
  const measured = saturatedWith(SHORT_OF_MEMORY, full, full);
  t.true(measured.paces(3000, 0.06, 1000)[0].includes(8));
});

test("a single small item that is passed over does not hold up the others", (t) => {
  const exception = {
    ...SHORT_OF_MEMORY,
    passedOver: { size: 8, reason: "placement" } as const,
  };
  const usual = new Array(4).fill(SHORT_OF_MEMORY);
  const paces = saturatedWith(exception, ...usual).paces(8, 0.06, 1000);
  t.true(paces.some(({ includes }) => !includes(3000)));
});

test("items of unknown size compete with all others", (t) => {
  const paces = saturatedWith(SHORT_OF_MEMORY).paces(undefined, 0.06, 1000);
  t.like(paces, [{ rate: 0.05 }]);
  t.true(paces[0].includes(8) && paces[0].includes(3000));
});
