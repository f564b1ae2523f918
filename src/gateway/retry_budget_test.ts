/** @module */

import test from "ava";
import * as retryBudgets from "./retry_budget.ts";

const BOUNDS = { ratio: 0.2, burst: 50, window: 10_000 };

/** Number of retries that a budget allows at once. */
function withdrawAll(
  budget: retryBudgets.RetryBudget,
  now: number,
  hosts: number,
) {
  let count = 0;
  while (budget.tryWithdraw(now, hosts)) count++;
  return count;
}

test("the retries of all hosts together stay within the bounds", (t) => {
  for (const hosts of [1, 6, 75]) {
    let repeats = 0;
    for (let host = 0; host < hosts; host++) {
      const budget = retryBudgets.RetryBudget.create(BOUNDS);
      for (let pos = 0; pos < 40; pos++) budget.deposit(pos);
      repeats += withdrawAll(budget, 100, hosts);
    }
    t.true(repeats <= BOUNDS.ratio * 40 * hosts + BOUNDS.burst);
    t.true(repeats > 0);
  }
});

test("used retries become available again after the window", (t) => {
  const budget = retryBudgets.RetryBudget.create(BOUNDS);
  const first = withdrawAll(budget, 0, 2);
  t.is(withdrawAll(budget, 5000, 2), 0);
  t.is(withdrawAll(budget, 10_001, 2), first);
});

// Guards against one account that takes the retries of all others: of 146
// requests of other accounts during a flood, 11 were not retried after a
// rejection, since the flood had used up the budget.
test("an account that exceeded its share gets no retries for a while", (t) => {
  const budget = retryBudgets.RetryBudget.create(BOUNDS);
  budget.withhold("flooding", 0);
  t.true(budget.isWithheldFrom("flooding", 999));
  t.false(budget.isWithheldFrom("other", 999));
  t.false(budget.isWithheldFrom("flooding", 1000));
});
