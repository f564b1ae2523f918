import test from "ava";
import * as fc from "fast-check";
import type * as request from "../request/request.ts";
import * as runtime from "../runtime/mod.ts";
import * as extraCallBudget from "./extra_call_budget.ts";
import * as retry from "./retry.ts";

function attempt(changes: Partial<request.Attempt> = {}): request.Attempt {
  return {
    request: "r",
    stage: 0,
    attempt: 1,
    endpoint: "e",
    started: 0,
    hedge: false,
    offset: 0,
    ...changes,
  };
}

function failure(changes: Partial<request.Failure> = {}): request.Failure {
  return { reason: "connection", outcome: "unknown", received: 0, ...changes };
}

function call(changes: Partial<retry.FailedCall> = {}): retry.FailedCall {
  return {
    attempt: attempt(),
    failure: failure(),
    idempotent: true,
    deadline: 1000,
    estimate: 100,
    others: true,
    ...changes,
  };
}

function sources(share = 1): retry.Dependencies {
  return {
    budget: extraCallBudget.ExtraCallBudget.create({
      ratio: share,
      floor: share,
    }, 0),
    random: runtime.createRandom(1),
    now: 0,
  };
}

test("retries no call that is not idempotent and may have run", (t) => {
  const outcomes = fc.constantFrom<request.Outcome>(
    "not-run",
    "ran",
    "unknown",
  );
  fc.assert(fc.property(outcomes, fc.boolean(), (outcome, idempotent) => {
    const failed = call({ failure: failure({ outcome }), idempotent });
    const decided = retry.decide(failed, sources());
    t.is(decided.type === "retry", idempotent || outcome === "not-run");
  }));
});

test("resumes after the delivered tokens, on another endpoint", (t) => {
  const failed = call({
    attempt: attempt({ offset: 7 }),
    failure: failure({ received: 5 }),
  });
  const decided = retry.decide(failed, sources());
  t.like(decided, { type: "retry", avoid: "e", offset: 12 });
});

test("gives up at once beyond the deadline, attempts or budget", (t) => {
  const late = retry.decide(call({ deadline: 50 }), sources());
  t.like(late, { type: "give-up", reason: "deadline" });
  const often = call({ attempt: attempt({ attempt: 4 }) });
  t.like(retry.decide(often, sources()), { reason: "too-many-attempts" });
  t.like(retry.decide(call(), sources(0)), { reason: "budget" });
});

test("waits as requested only if no other endpoint is left", (t) => {
  const asked = failure({ outcome: "not-run", retryAfter: 500 });
  const alone = retry.decide(
    call({ failure: asked, others: false }),
    sources(),
  );
  t.true(alone.type === "retry" && alone.at >= 500);
  const free = retry.decide(call({ failure: asked }), sources());
  t.true(free.type === "retry" && free.at <= 10);
  const never = failure({ outcome: "not-run", retryAfter: 950 });
  const tooLong = call({ failure: never, others: false });
  t.like(retry.decide(tooLong, sources()), {
    reason: "deadline",
    outcome: "not-run",
    retryAfter: 950,
  });
});
