/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as prospect from "./timeliness.ts";

test("a request is in time when its pieces are, or when nothing waits", (t) => {
  const forecast = { uncontended: 500 };
  const isInTime = (finish: number, left: number, error = 80) =>
    prospect.meetsObjective({ ...forecast, finish, error }, {
      left,
      objective: 1500,
    });
  t.true(isInTime(900, 900));
  t.true(isInTime(1000, 900));
  t.false(isInTime(1001, 900));
  t.true(isInTime(500, 100));
});

test("forecasts that miss by seconds do not let in what they would make late", (t) => {
  const forecast = { uncontended: 500, error: 3000 };
  const time = { left: 900, objective: 1500 };
  t.true(prospect.meetsObjective({ ...forecast, finish: 1050 }, time));
  t.false(prospect.meetsObjective({ ...forecast, finish: 1051 }, time));
});

test("callers leave a stream that is silent for some objectives", (t) => {
  const stream = { kind: "streaming" as const, timeout: 15_000 };
  const leaves = (change: Partial<ReturnType<typeof fixture.route>>) =>
    prospect.abandonmentTime(fixture.route({ ...stream, ...change }));
  t.is(leaves({ objective: 300 }), 2000);
  t.is(leaves({ objective: 1500 }), 6000);
  t.is(leaves({ objective: 300, gap: 500 }), 4000);
  t.is(leaves({ objective: 9000 }), 15_000);
  t.is(leaves({ kind: "safe", objective: 300 }), 15_000);
});
