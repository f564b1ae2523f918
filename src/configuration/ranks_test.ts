/** @module */

import test from "ava";
import * as ranks from "./ranks.ts";

const ROUTES = [{ priority: 2 }, { priority: 0 }, { priority: 1 }];

// Guards against ranks that ignore the priority of routes if accounts have one,
// so that the most urgent route is treated like the least urgent.
test("requests with equal account priority are ranked by route priority", (t) => {
  const accounts = [{ priority: 1 }, { priority: 1 }];
  const ordering = ranks.Ranks.of({ routes: ROUTES, accounts });
  const withoutAccounts = ranks.Ranks.of({ routes: ROUTES, accounts: [] });
  for (const route of ROUTES) {
    t.is(ordering.rankOf(route, accounts[0]), route.priority);
    t.is(withoutAccounts.rankOf(route), route.priority);
  }
});

// Guards against an account of low priority that precedes one of high priority
// due to its routes, which a sum of both priorities would allow.
test("account priority takes precedence over route priority", (t) => {
  const accounts = [{ priority: 3 }, { priority: 7 }, { priority: 1 }];
  const ordering = ranks.Ranks.of({ routes: ROUTES, accounts });
  const rank = (account: number, route: number) =>
    ordering.rankOf({ priority: route }, { priority: account });
  t.true(rank(1, 2) < rank(3, 0));
  t.true(rank(3, 2) < rank(7, 0));
  t.true(rank(3, 0) < rank(3, 1) && rank(3, 1) < rank(3, 2));
});

test("requests without an account priority rank after those with one", (t) => {
  const accounts = [{ priority: 3 }, {}];
  const ordering = ranks.Ranks.of({ routes: ROUTES, accounts });
  const last = ordering.rankOf({ priority: 2 }, { priority: 3 });
  t.true(ordering.rankOf({ priority: 0 }, {}) > last);
  t.is(ordering.rankOf({ priority: 0 }), ordering.rankOf({ priority: 0 }, {}));
});
