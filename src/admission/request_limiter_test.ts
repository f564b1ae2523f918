import test from "ava";
import * as limit from "./request_limiter.ts";

const flow = { account: "crew", kind: "plan" };

function createLimit(policy: { rate?: number; concurrency?: number }) {
  return limit.RequestLimiter.create(new Map([["account/crew", policy]]));
}

/** Takes when the check admits; returns whether it did. */
function tryTake(limits: limit.RequestLimiter, now: number): boolean {
  const admitted = limits.check(flow, now).type === "admit";
  if (admitted) limits.acquire(flow);
  return admitted;
}

test("admits at the rate and says when the next token comes", (t) => {
  const limits = createLimit({ rate: 4 });
  let admitted = 0;
  for (let now = 0; now < 10_000; now += 10) {
    if (tryTake(limits, now)) admitted++;
  }
  t.is(admitted, 43);
  t.deepEqual(limits.check(flow, 9990), {
    type: "refuse",
    row: "account/crew",
    retryAfter: 10,
  });
});

test("a check alone uses up nothing", (t) => {
  const limits = createLimit({ rate: 1, concurrency: 1 });
  for (let i = 0; i < 9; i++) t.is(limits.check(flow, 0).type, "admit");
});

test("holds requests in flight under the limit", (t) => {
  const limits = createLimit({ concurrency: 2 });
  t.true(tryTake(limits, 0));
  t.true(tryTake(limits, 0));
  t.false(tryTake(limits, 0));
  limits.release(flow, 500);
  t.true(tryTake(limits, 500));
  t.deepEqual(limits.check(flow, 500), {
    type: "refuse",
    row: "account/crew",
    retryAfter: 250,
  });
});

test("a lower limit holds for new requests at once", (t) => {
  const limits = createLimit({ concurrency: 5 });
  tryTake(limits, 0);
  limits.setPolicies(new Map([["kind/plan", { concurrency: 1 }]]));
  t.false(tryTake(limits, 1));
});

test("a limit of zero refuses without a time to retry", (t) => {
  for (const policy of [{ rate: 0 }, { concurrency: 0 }]) {
    const verdict = createLimit(policy).check(flow, 0);
    t.deepEqual(verdict, { type: "refuse", row: "account/crew" });
  }
});

test("a rate slower than the memory for idle rows still holds", (t) => {
  const limits = createLimit({ rate: 0.001 });
  t.true(tryTake(limits, 0));
  for (let now = 70_000; now < 990_000; now += 70_000) {
    t.false(tryTake(limits, now));
  }
  t.true(tryTake(limits, 1_050_000));
});

test("forgets rows that nothing is asked of", (t) => {
  const limits = limit.RequestLimiter.create();
  for (let i = 0; i < 5000; i++) {
    limits.check({ account: `a${i}`, kind: "plan" }, i * 1000);
  }
  t.true(Object.keys(limits.toJSON()).length < 300);
});
