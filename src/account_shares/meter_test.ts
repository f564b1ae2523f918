/** @module */

import test from "ava";
import * as meters from "./meter.ts";

const FLOW = { account: "a", rank: 1 };

test("an interval has the sums of each account and rank", (t) => {
  const meter = meters.Meter.create(0);
  meter.offer(FLOW, 3);
  meter.offer(FLOW, 4);
  meter.offer({ account: "a", rank: 2 }, 5);
  meter.refuse(5);
  meter.serve(FLOW, 3);
  meter.deny(4);
  t.deepEqual(meter.take(500), {
    span: 500,
    admitted: 7,
    denied: 4,
    accounts: [
      { account: "a", rank: 1, offered: 7, served: 3 },
      { account: "a", rank: 2, offered: 5, served: 0 },
    ],
  });
});

test("an interval begins where the last one ended", (t) => {
  const meter = meters.Meter.create(0);
  meter.offer(FLOW, 3);
  meter.take(500);
  const use = { span: 480, admitted: 0, denied: 0, accounts: [] };
  t.deepEqual(meter.take(980), use);
});

// Guards against negative sums, which other hosts reject as invalid.
test("a cost that is corrected in a later interval leaves no negative sum", (t) => {
  const meter = meters.Meter.create(0);
  meter.offer(FLOW, 100);
  meter.take(500);
  meter.offer(FLOW, -90);
  const { admitted, accounts: [{ offered }] } = meter.take(1000);
  t.deepEqual([admitted, offered], [0, 0]);
});
