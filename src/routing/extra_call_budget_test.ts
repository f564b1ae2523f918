import test from "ava";
import * as fc from "fast-check";
import * as extraCallBudget from "./extra_call_budget.ts";

test("never grants more than share, floor and initial balance", (t) => {
  const step = fc.record({
    passed: fc.integer({ min: 0, max: 2000 }),
    request: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
    const budget = extraCallBudget.ExtraCallBudget.create({
      ratio: 0.1,
      floor: 0.5,
    }, 0);
    let now = 0;
    let requests = 0;
    let granted = 0;
    for (const { passed, request } of steps) {
      now += passed;
      if (request) budget.deposit(now);
      if (request) requests++;
      if (budget.take(now)) granted++;
      t.true(granted <= 1 + 0.1 * requests + 0.5 * now / 1000 + 1e-9);
    }
  }));
});

test("halves the balance within its half-life", (t) => {
  const budget = extraCallBudget.ExtraCallBudget.create(
    { ratio: 1, floor: 0 },
    0,
  );
  for (let count = 0; count < 20; count++) budget.deposit(0);
  t.is(budget.available(0), 20);
  t.is(budget.available(10_000), 10);
});

test("grants nothing if the scale of all requests is zero", (t) => {
  const budget = extraCallBudget.ExtraCallBudget.create(
    { ratio: 1, floor: 0 },
    0,
  );
  for (let now = 0; now < 1000; now++) budget.deposit(now, 0);
  t.false(budget.take(1000));
});
