/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as timeliness from "./timeliness.ts";

test("a request meets its objective if its stages do, or without queueing", (t) => {
  const forecast = { uncontended: 500 };
  const meetsObjective = (finish: number, left: number, error = 80) =>
    timeliness.meetsObjective({ ...forecast, finish, error }, {
      left,
      objective: 1500,
    });
  t.true(meetsObjective(900, 900));
  t.true(meetsObjective(1000, 900));
  t.false(meetsObjective(1001, 900));
  t.true(meetsObjective(500, 100));
});

test("forecast errors of seconds do not admit late requests", (t) => {
  const forecast = { uncontended: 500, error: 3000 };
  const time = { left: 900, objective: 1500 };
  t.true(timeliness.meetsObjective({ ...forecast, finish: 1050 }, time));
  t.false(timeliness.meetsObjective({ ...forecast, finish: 1051 }, time));
});

test("callers abandon a stream without events after a multiple of the objective", (t) => {
  const stream = { kind: "streaming" as const, timeout: 15_000 };
  const leaves = (change: Partial<ReturnType<typeof fixture.route>>) =>
    timeliness.abandonmentTime(fixture.route({ ...stream, ...change }));
  t.is(leaves({ objective: 300 }), 2000);
  t.is(leaves({ objective: 1500 }), 6000);
  t.is(leaves({ objective: 300, gap: 500 }), 4000);
  t.is(leaves({ objective: 9000 }), 15_000);
  t.is(leaves({ kind: "safe", objective: 300 }), 15_000);
});
