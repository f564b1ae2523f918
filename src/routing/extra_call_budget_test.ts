import test from "ava";
import * as fc from "fast-check";
import * as budget from "./extra_call_budget.ts";

test("never grants more than its share, its floor and its start", (t) => {
  const step = fc.record({
    passed: fc.integer({ min: 0, max: 2000 }),
    request: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
    const one = budget.ExtraCallBudget.create({ ratio: 0.1, floor: 0.5 }, 0);
    let now = 0;
    let requests = 0;
    let granted = 0;
    for (const { passed, request } of steps) {
      now += passed;
      if (request) one.deposit(now);
      if (request) requests++;
      if (one.take(now)) granted++;
      t.true(granted <= 1 + 0.1 * requests + 0.5 * now / 1000 + 1e-9);
    }
  }));
});

test("forgets what was saved up long ago", (t) => {
  const one = budget.ExtraCallBudget.create({ ratio: 1, floor: 0 }, 0);
  for (let count = 0; count < 20; count++) one.deposit(0);
  t.is(one.available(0), 20);
  t.is(one.available(10_000), 10);
});

test("grants nothing where nothing may be spent", (t) => {
  const one = budget.ExtraCallBudget.create({ ratio: 1, floor: 0 }, 0);
  for (let now = 0; now < 1000; now++) one.deposit(now, 0);
  t.false(one.take(1000));
});
