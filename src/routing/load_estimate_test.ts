import test from "ava";
import * as fc from "fast-check";
import * as loadEstimate from "./load_estimate.ts";

function report(running: number, at: number) {
  return { running, waiting: 0, kvUsed: 0, at };
}

test("adds own calls since a report to the reported calls of others", (t) => {
  const estimate = loadEstimate.LoadEstimate.create();
  estimate.startCall(0);
  estimate.startCall(100);
  estimate.report(report(5, 50), 200);
  t.is(estimate.otherHostCalls(50), 4);
  t.is(estimate.predict(50), 6);
});

test("ignores a report older than the last", (t) => {
  const estimate = loadEstimate.LoadEstimate.create();
  estimate.report(report(5, 100), 150);
  estimate.report(report(9, 60), 160);
  t.is(estimate.predict(100), 5);
});

test("decays reported calls with the service time", (t) => {
  const estimate = loadEstimate.LoadEstimate.create();
  estimate.report(report(8, 0), 0);
  t.is(estimate.otherHostCalls(0, { serviceTime: 500 }), 8);
  t.is(estimate.otherHostCalls(0, { prior: 2, serviceTime: 500 }), 5);
  const later = estimate.otherHostCalls(500, { prior: 2, serviceTime: 500 });
  t.true(Math.abs(later - (2 + 3 / Math.E)) < 1e-9);
  t.true(
    estimate.otherHostCalls(60_000, { prior: 2, serviceTime: 500 }) < 2.01,
  );
});

test("reports own counts as a complete history would", (t) => {
  const changes = fc.array(fc.boolean(), { maxLength: 30 });
  fc.assert(fc.property(changes, fc.integer({ max: 3000 }), (list, at) => {
    const estimate = loadEstimate.LoadEstimate.create();
    const record: { at: number; own: number }[] = [];
    for (const [pos, sends] of list.entries()) {
      const now = pos * 100;
      if (sends) estimate.startCall(now);
      else estimate.endCall(now);
      record.push({ at: now, own: estimate.ownCalls });
    }
    const last = record.filter((change) => change.at <= at).at(-1);
    t.is(estimate.ownCallsAt(at), last?.own ?? 0);
  }));
});
