/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as prospect from "./prospect.ts";

test("a request is in time when its pieces are, or when nothing waits", (t) => {
  const forecast = { alone: 500, error: 80 };
  t.true(prospect.isInTime({ ...forecast, finish: 900 }, 900));
  t.true(prospect.isInTime({ ...forecast, finish: 1000 }, 900));
  t.false(prospect.isInTime({ ...forecast, finish: 1001 }, 900));
  t.true(prospect.isInTime({ ...forecast, finish: 500 }, 100));
});

test("callers leave a stream that is silent for some objectives", (t) => {
  const stream = { kind: "streaming" as const, timeout: 15_000 };
  const leaves = (change: Partial<ReturnType<typeof fixture.route>>) =>
    prospect.leavesAfter(fixture.route({ ...stream, ...change }));
  t.is(leaves({ objective: 300 }), 2000);
  t.is(leaves({ objective: 1500 }), 6000);
  t.is(leaves({ objective: 300, gap: 500 }), 4000);
  t.is(leaves({ objective: 9000 }), 15_000);
  t.is(leaves({ kind: "safe", objective: 300 }), 15_000);
});
