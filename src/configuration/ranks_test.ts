/** @module */

import test from "ava";
import * as ranks from "./ranks.ts";

const ROUTES = [{ priority: 2 }, { priority: 0 }, { priority: 1 }];

// Guards against the dearest kind of request being treated like the least, which
// an account priority in place of the route's does.
test("accounts of one priority leave the order to routes", (t) => {
  const accounts = [{ priority: 1 }, { priority: 1 }];
  const known = ranks.Ranks.of({ routes: ROUTES, accounts });
  const alone = ranks.Ranks.of({ routes: ROUTES, accounts: [] });
  for (const route of ROUTES) {
    t.is(known.rankOf(route, accounts[0]), route.priority);
    t.is(alone.rankOf(route), route.priority);
  }
});

// Guards against an account of low priority that passes one of high by its
// routes, which a sum of both priorities would allow.
test("no route of an account goes before one of an account of higher priority", (t) => {
  const accounts = [{ priority: 3 }, { priority: 7 }, { priority: 1 }];
  const known = ranks.Ranks.of({ routes: ROUTES, accounts });
  const rank = (account: number, route: number) =>
    known.rankOf({ priority: route }, { priority: account });
  t.true(rank(1, 2) < rank(3, 0));
  t.true(rank(3, 2) < rank(7, 0));
  t.true(rank(3, 0) < rank(3, 1) && rank(3, 1) < rank(3, 2));
});

test("requests without an account priority go after those with one", (t) => {
  const accounts = [{ priority: 3 }, {}];
  const known = ranks.Ranks.of({ routes: ROUTES, accounts });
  const last = known.rankOf({ priority: 2 }, { priority: 3 });
  t.true(known.rankOf({ priority: 0 }, {}) > last);
  t.is(known.rankOf({ priority: 0 }), known.rankOf({ priority: 0 }, {}));
});
