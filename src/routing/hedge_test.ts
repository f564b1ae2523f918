import test from "ava";
import * as extraCallBudget from "./extra_call_budget.ts";
import * as hedge from "./hedge.ts";
import * as durationHistogram from "./duration_histogram.ts";

function learned(): hedge.HedgePolicy {
  const hedges = hedge.HedgePolicy.create();
  for (let count = 0; count < 100; count++) {
    hedges.observe(500, count < 97 ? 100 : 2000);
    hedges.observeProgress(500, { ms: 50, first: true });
    hedges.observeProgress(500, { ms: 20, first: false });
  }
  return hedges;
}

function call(changes: Partial<hedge.RunningCall> = {}): hedge.RunningCall {
  return {
    attempt: {
      request: "r",
      stage: 0,
      attempt: 1,
      endpoint: "e",
      started: 0,
      hedge: false,
      offset: 0,
    },
    size: 500,
    idempotent: true,
    deadline: 5000,
    progressed: 0,
    receiving: false,
    hedged: false,
    others: true,
    ...changes,
  };
}

function spend(tokens: number): extraCallBudget.ExtraCallBudget {
  const budget = extraCallBudget.ExtraCallBudget.create(
    { ratio: 1, floor: 0 },
    0,
  );
  for (let count = 0; count < tokens; count++) budget.deposit(0);
  return budget;
}

test("hedges a straggler after its learned threshold", (t) => {
  const hedges = learned();
  t.like(hedges.decide(call(), spend(2), 50), { type: "wait" });
  t.like(hedges.decide(call(), spend(2), 150), { type: "hedge" });
});

test("does not hedge without budget, twice, or if not idempotent", (t) => {
  const hedges = learned();
  t.like(hedges.decide(call(), spend(0), 150), { type: "wait" });
  const twice = call({ hedged: true });
  t.deepEqual(hedges.decide(twice, spend(2), 150), {
    type: "wait",
    until: 5000,
  });
  const once = call({ idempotent: false });
  t.like(hedges.decide(once, spend(2), 4000), { type: "wait" });
});

test("does not hedge when a fresh call would come too late", (t) => {
  const late = call({ deadline: 200 });
  t.like(learned().decide(late, spend(2), 150), { type: "wait", until: 200 });
});

test("replaces a stream without progress after its learned threshold", (t) => {
  const stream = call({ receiving: true, progressed: 1000 });
  t.like(learned().decide(stream, spend(0), 1200), {
    type: "wait",
    until: 1250,
  });
  t.like(learned().decide(stream, spend(0), 1250), { type: "replace" });
});

test("detects no hang early before it has enough samples", (t) => {
  const fresh = hedge.HedgePolicy.create();
  t.like(fresh.decide(call(), spend(2), 4000), { type: "wait", until: 5000 });
});

test("keeps quantiles within a bucket and decays old samples", (t) => {
  const durations = durationHistogram.DurationHistogram.create();
  for (let ms = 1; ms <= 1000; ms++) durations.add(ms);
  const median = durations.quantile(0.5) ?? 0;
  t.true(median >= 500 && median <= 500 * 2 ** 0.25);
  for (let count = 0; count < 4000; count++) durations.add(10);
  t.true((durations.quantile(0.95) ?? 0) < 13);
});
