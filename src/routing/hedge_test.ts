import test from "ava";
import * as budget from "./extra_call_budget.ts";
import * as hedge from "./hedge.ts";
import * as quantile from "./duration_histogram.ts";

function learnt(): hedge.HedgePolicy {
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

function spend(tokens: number): budget.ExtraCallBudget {
  const one = budget.ExtraCallBudget.create({ ratio: 1, floor: 0 }, 0);
  for (let count = 0; count < tokens; count++) one.deposit(0);
  return one;
}

test("hedges a straggler once its learnt quantile has passed", (t) => {
  const hedges = learnt();
  t.like(hedges.decide(call(), spend(2), 50), { type: "wait" });
  t.like(hedges.decide(call(), spend(2), 150), { type: "hedge" });
});

test("does not hedge without budget, twice, or what may run once", (t) => {
  const hedges = learnt();
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
  t.like(learnt().decide(late, spend(2), 150), { type: "wait", until: 200 });
});

test("replaces a stream that makes no progress for its learnt bound", (t) => {
  const stream = call({ receiving: true, progressed: 1000 });
  t.like(learnt().decide(stream, spend(0), 1200), {
    type: "wait",
    until: 1250,
  });
  t.like(learnt().decide(stream, spend(0), 1250), { type: "replace" });
});

test("calls nothing a hang early before it has learnt", (t) => {
  const fresh = hedge.HedgePolicy.create();
  t.like(fresh.decide(call(), spend(2), 4000), { type: "wait", until: 5000 });
});

test("keeps quantiles within a bucket and forgets old samples", (t) => {
  const durations = quantile.DurationHistogram.create();
  for (let ms = 1; ms <= 1000; ms++) durations.add(ms);
  const median = durations.quantile(0.5) ?? 0;
  t.true(median >= 500 && median <= 500 * 2 ** 0.25);
  for (let count = 0; count < 4000; count++) durations.add(10);
  t.true((durations.quantile(0.95) ?? 0) < 13);
});
