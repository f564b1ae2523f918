import test from "ava";
import * as fc from "fast-check";
import * as ejection from "./outlier_detector.ts";

function group(size: number): ejection.OutlierDetector {
  const one = ejection.OutlierDetector.create();
  for (let pos = 0; pos < size; pos++) one.add(`e${pos}`);
  return one;
}

function fail(one: ejection.OutlierDetector, id: string, now: number): void {
  for (let count = 0; count < 3; count++) one.observe(id, { ok: false }, now);
}

test("ejects after failures in a row and returns slowly by probes", (t) => {
  const one = group(3);
  fail(one, "e0", 0);
  t.is(one.state("e0"), "ejected");
  t.is(one.weight("e0", 0), 0);
  t.is(one.dueProbe(1999), undefined);
  t.is(one.dueProbe(2000), "e0");
  one.startCall("e0", 2000);
  t.is(one.dueProbe(2001), undefined);
  one.observe("e0", { ok: true }, 2100);
  one.startCall("e0", 2100);
  one.observe("e0", { ok: true }, 2200);
  t.is(one.state("e0"), "returning");
  t.true(one.weight("e0", 2200) <= 0.1);
  t.is(one.weight("e0", 7200), 0.5);
  one.observe("e0", { ok: true }, 12_200);
  t.is(one.weight("e0", 12_200), 1);
});

test("doubles the time out after a failed probe only", (t) => {
  const one = group(3);
  fail(one, "e0", 0);
  one.observe("e0", { ok: false }, 100);
  t.is(one.dueProbe(2000), "e0");
  one.startCall("e0", 2000);
  one.observe("e0", { ok: false }, 2000);
  t.is(one.dueProbe(5999), undefined);
  t.is(one.dueProbe(6000), "e0");
});

test("ejects what is slow against its group, not a slow group", (t) => {
  const one = group(6);
  for (let count = 0; count < 20; count++) {
    for (let pos = 0; pos < 6; pos++) {
      const slowness = pos === 2 ? 10 : 1;
      one.observe(`e${pos}`, { ok: true, slowness }, count * 600);
    }
  }
  t.is(one.state("e2"), "ejected");
  t.is(one.ejectedCount, 1);
  const slow = group(6);
  for (let count = 0; count < 120; count++) {
    slow.observe(`e${count % 6}`, { ok: true, slowness: 10 }, count * 100);
  }
  t.is(slow.ejectedCount, 0);
});

test("never ejects more than half, whatever happens", (t) => {
  const step = fc.tuple(fc.nat(6), fc.constantFrom("fail", "leave", "join"));
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const one = group(7);
    const present = new Set(["e0", "e1", "e2", "e3", "e4", "e5", "e6"]);
    for (const [now, [pos, what]] of steps.entries()) {
      const id = `e${pos}`;
      if (what === "fail") fail(one, id, now);
      else if (what === "join") one.add(id), present.add(id);
      else one.remove(id), present.delete(id);
      const out = [...present].filter((id) => one.weight(id, now) === 0);
      t.is(out.length, one.ejectedCount);
      t.true(out.length <= present.size / 2);
    }
  }));
});

test("leaves an endpoint alone as long as it asked, within a bound", (t) => {
  const one = group(2);
  one.hold("e0", 1e9, 0);
  t.is(one.weight("e0", 29_999), 0);
  t.is(one.weight("e0", 30_000), 1);
});
