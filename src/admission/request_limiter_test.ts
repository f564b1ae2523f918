import test from "ava";
import * as requestLimiter from "./request_limiter.ts";

const flow = { account: "crew", kind: "plan" };

function createLimiter(policy: { rate?: number; concurrency?: number }) {
  return requestLimiter.RequestLimiter.create(
    new Map([["account/crew", policy]]),
  );
}

/** Acquires when the check admits; returns whether it did. */
function tryAcquire(
  limiter: requestLimiter.RequestLimiter,
  now: number,
): boolean {
  const admitted = limiter.check(flow, now).type === "admit";
  if (admitted) limiter.acquire(flow);
  return admitted;
}

test("admits at the rate and reports when the next token is due", (t) => {
  const limiter = createLimiter({ rate: 4 });
  let admitted = 0;
  for (let now = 0; now < 10_000; now += 10) {
    if (tryAcquire(limiter, now)) admitted++;
  }
  t.is(admitted, 43);
  t.deepEqual(limiter.check(flow, 9990), {
    type: "refuse",
    row: "account/crew",
    retryAfter: 10,
  });
});

test("a check alone consumes no token and no concurrency", (t) => {
  const limiter = createLimiter({ rate: 1, concurrency: 1 });
  for (let i = 0; i < 9; i++) t.is(limiter.check(flow, 0).type, "admit");
});

test("keeps requests in flight within the concurrency limit", (t) => {
  const limiter = createLimiter({ concurrency: 2 });
  t.true(tryAcquire(limiter, 0));
  t.true(tryAcquire(limiter, 0));
  t.false(tryAcquire(limiter, 0));
  limiter.release(flow, 500);
  t.true(tryAcquire(limiter, 500));
  t.deepEqual(limiter.check(flow, 500), {
    type: "refuse",
    row: "account/crew",
    retryAfter: 250,
  });
});

test("a lower limit applies to new requests at once", (t) => {
  const limiter = createLimiter({ concurrency: 5 });
  tryAcquire(limiter, 0);
  limiter.setPolicies(new Map([["kind/plan", { concurrency: 1 }]]));
  t.false(tryAcquire(limiter, 1));
});

test("a limit of zero refuses without a retry time", (t) => {
  for (const policy of [{ rate: 0 }, { concurrency: 0 }]) {
    const decision = createLimiter(policy).check(flow, 0);
    t.deepEqual(decision, { type: "refuse", row: "account/crew" });
  }
});

test("a rate slower than the eviction of idle rows is still enforced", (t) => {
  const limiter = createLimiter({ rate: 0.001 });
  t.true(tryAcquire(limiter, 0));
  for (let now = 70_000; now < 990_000; now += 70_000) {
    t.false(tryAcquire(limiter, now));
  }
  t.true(tryAcquire(limiter, 1_050_000));
});

test("evicts idle rows", (t) => {
  const limiter = requestLimiter.RequestLimiter.create();
  for (let i = 0; i < 5000; i++) {
    limiter.check({ account: `a${i}`, kind: "plan" }, i * 1000);
  }
  t.true(Object.keys(limiter.toJSON()).length < 300);
});
