/** @module */

import test from "ava";
import * as budgets from "./retry_budget.ts";

const BOUNDS = { ratio: 0.2, burst: 50, window: 10_000 };

/** Number of repeats that a budget allows at once. */
function drain(budget: budgets.RetryBudget, now: number, hosts: number) {
  let count = 0;
  while (budget.tryWithdraw(now, hosts)) count++;
  return count;
}

test("all hosts together stay under the bounds", (t) => {
  for (const hosts of [1, 6, 75]) {
    let repeats = 0;
    for (let host = 0; host < hosts; host++) {
      const budget = budgets.RetryBudget.create(BOUNDS);
      for (let pos = 0; pos < 40; pos++) budget.deposit(pos);
      repeats += drain(budget, 100, hosts);
    }
    t.true(repeats <= BOUNDS.ratio * 40 * hosts + BOUNDS.burst);
    t.true(repeats > 0);
  }
});

test("what was spent comes back when its window is over", (t) => {
  const budget = budgets.RetryBudget.create(BOUNDS);
  const first = drain(budget, 0, 2);
  t.is(drain(budget, 5000, 2), 0);
  t.is(drain(budget, 10_001, 2), first);
});
