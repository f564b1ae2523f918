/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as typicalValues from "./typical_value.ts";

test("the first value has nothing to be compared with", (t) => {
  const typical = typicalValues.TypicalValue.create();
  t.is(typical.ratio(40), undefined);
  typical.observe(40, 1);
  t.is(typical.ratio(80), 2);
});

test("values of a slow endpoint do not raise the typical value", (t) => {
  const typical = typicalValues.TypicalValue.create();
  for (let count = 0; count < 200; count++) {
    typical.observe(40, 1);
    typical.observe(100, 2.5);
  }
  t.true(Math.abs(typical.ratio(40)! - 1) < 1e-9);
});

// Guards against a slowness that drifts for all endpoints together: an arithmetic
// mean lies above the mean logarithm, the more so the more the values spread.
test("ratios of spread values are centred on one", (t) => {
  const random = runtime.createRandom(3);
  const typical = typicalValues.TypicalValue.create();
  let sum = 0;
  typical.observe(40, 1);
  for (let count = 0; count < 4000; count++) {
    const value = 40 * Math.exp(2 * random.next() - 1);
    sum += Math.log(typical.ratio(value)!);
    typical.observe(value, 1);
  }
  t.true(Math.abs(sum / 4000) < 0.03, `${sum / 4000}`);
});
