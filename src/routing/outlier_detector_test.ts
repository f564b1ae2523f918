import test from "ava";
import * as fc from "fast-check";
import * as outlierDetector from "./outlier_detector.ts";

function createGroup(size: number): outlierDetector.OutlierDetector {
  const group = outlierDetector.OutlierDetector.create();
  for (let pos = 0; pos < size; pos++) group.add(`e${pos}`);
  return group;
}

function fail(
  group: outlierDetector.OutlierDetector,
  id: string,
  now: number,
): void {
  for (let count = 0; count < 3; count++) group.observe(id, { ok: false }, now);
}

test("ejects on consecutive failures, returns gradually by probes", (t) => {
  const group = createGroup(3);
  fail(group, "e0", 0);
  t.is(group.state("e0"), "ejected");
  t.is(group.weight("e0", 0), 0);
  t.is(group.dueProbe(1999), undefined);
  t.is(group.dueProbe(2000), "e0");
  group.startCall("e0", 2000);
  t.is(group.dueProbe(2001), undefined);
  group.observe("e0", { ok: true }, 2100);
  group.startCall("e0", 2100);
  group.observe("e0", { ok: true }, 2200);
  t.is(group.state("e0"), "returning");
  t.true(group.weight("e0", 2200) <= 0.1);
  t.is(group.weight("e0", 7200), 0.5);
  group.observe("e0", { ok: true }, 12_200);
  t.is(group.weight("e0", 12_200), 1);
});

test("doubles the ejection time only after a failed probe", (t) => {
  const group = createGroup(3);
  fail(group, "e0", 0);
  group.observe("e0", { ok: false }, 100);
  t.is(group.dueProbe(2000), "e0");
  group.startCall("e0", 2000);
  group.observe("e0", { ok: false }, 2000);
  t.is(group.dueProbe(5999), undefined);
  t.is(group.dueProbe(6000), "e0");
});

test("ejects an endpoint slower than its group, not a slow group", (t) => {
  const group = createGroup(6);
  for (let count = 0; count < 20; count++) {
    for (let pos = 0; pos < 6; pos++) {
      const slowness = pos === 2 ? 10 : 1;
      group.observe(`e${pos}`, { ok: true, slowness }, count * 600);
    }
  }
  t.is(group.state("e2"), "ejected");
  t.is(group.ejectedCount, 1);
  const slow = createGroup(6);
  for (let count = 0; count < 120; count++) {
    slow.observe(`e${count % 6}`, { ok: true, slowness: 10 }, count * 100);
  }
  t.is(slow.ejectedCount, 0);
});

test("never ejects more than half of a group", (t) => {
  const step = fc.tuple(fc.nat(6), fc.constantFrom("fail", "leave", "join"));
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const group = createGroup(7);
    const present = new Set(["e0", "e1", "e2", "e3", "e4", "e5", "e6"]);
    for (const [now, [pos, what]] of steps.entries()) {
      const id = `e${pos}`;
      if (what === "fail") fail(group, id, now);
      else if (what === "join") group.add(id), present.add(id);
      else group.remove(id), present.delete(id);
      const out = [...present].filter((id) => group.weight(id, now) === 0);
      t.is(out.length, group.ejectedCount);
      t.true(out.length <= present.size / 2);
    }
  }));
});

test("holds calls back as long as an endpoint asks, up to a bound", (t) => {
  const group = createGroup(2);
  group.hold("e0", 1e9, 0);
  t.is(group.weight("e0", 29_999), 0);
  t.is(group.weight("e0", 30_000), 1);
});
