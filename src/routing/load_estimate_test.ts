import test from "ava";
import * as fc from "fast-check";
import * as load from "./load_estimate.ts";

function report(running: number, at: number) {
  return { running, waiting: 0, kvUsed: 0, at };
}

test("adds own calls since a report to the foreign part of it", (t) => {
  const one = load.LoadEstimate.create();
  one.startCall(0);
  one.startCall(100);
  one.report(report(5, 50), 200);
  t.is(one.otherHostCalls(50), 4);
  t.is(one.predict(50), 6);
});

test("ignores a report older than the last", (t) => {
  const one = load.LoadEstimate.create();
  one.report(report(5, 100), 150);
  one.report(report(9, 60), 160);
  t.is(one.predict(100), 5);
});

test("lets what a report saw end as calls do", (t) => {
  const one = load.LoadEstimate.create();
  one.report(report(8, 0), 0);
  t.is(one.otherHostCalls(0, { serviceTime: 500 }), 8);
  t.is(one.otherHostCalls(0, { prior: 2, serviceTime: 500 }), 5);
  const later = one.otherHostCalls(500, { prior: 2, serviceTime: 500 });
  t.true(Math.abs(later - (2 + 3 / Math.E)) < 1e-9);
  t.true(one.otherHostCalls(60_000, { prior: 2, serviceTime: 500 }) < 2.01);
});

test("keeps own counts as a full record would", (t) => {
  const changes = fc.array(fc.boolean(), { maxLength: 30 });
  fc.assert(fc.property(changes, fc.integer({ max: 3000 }), (list, at) => {
    const one = load.LoadEstimate.create();
    const record: { at: number; own: number }[] = [];
    for (const [pos, sends] of list.entries()) {
      const now = pos * 100;
      if (sends) one.startCall(now);
      else one.endCall(now);
      record.push({ at: now, own: one.ownCalls });
    }
    const last = record.filter((change) => change.at <= at).at(-1);
    t.is(one.ownCallsAt(at), last?.own ?? 0);
  }));
});
