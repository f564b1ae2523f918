import test from "ava";
import * as fc from "fast-check";
import * as load from "./load.ts";

function report(running: number, at: number) {
  return { running, waiting: 0, kvUsed: 0, at };
}

test("adds own calls since a report to the foreign part of it", (t) => {
  const one = load.Load.create();
  one.send(0);
  one.send(100);
  one.report(report(5, 50), 200);
  t.is(one.foreign(200), 4);
  t.is(one.predict(200), 6);
});

test("ignores a report older than the last", (t) => {
  const one = load.Load.create();
  one.report(report(5, 100), 150);
  one.report(report(9, 60), 160);
  t.is(one.predict(160), 5);
});

test("lets a stale report fade towards the group", (t) => {
  const one = load.Load.create();
  one.report(report(8, 0), 0);
  t.is(one.foreign(1000, 2), 8);
  t.is(one.foreign(5000, 2), 5);
  t.true(one.foreign(60_000, 2) < 2.01);
});

test("keeps own counts as a full record would", (t) => {
  const changes = fc.array(fc.boolean(), { maxLength: 30 });
  fc.assert(fc.property(changes, fc.integer({ max: 3000 }), (list, at) => {
    const one = load.Load.create();
    const record: { at: number; own: number }[] = [];
    for (const [pos, sends] of list.entries()) {
      const now = pos * 100;
      if (sends) one.send(now);
      else one.end(now);
      record.push({ at: now, own: one.own });
    }
    const last = record.filter((change) => change.at <= at).at(-1);
    t.is(one.ownAt(at), last?.own ?? 0);
  }));
});
