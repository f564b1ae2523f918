import test from "ava";
import * as runtime from "../src/runtime/mod.ts";
import * as faults from "./faults.ts";

function create(): faults.Faults {
  return new faults.Faults(runtime.createRandom(1));
}

test("hits as many calls as its count says", (t) => {
  const set = create();
  set.set({ type: "refuse", count: 2 }, 0);
  const hits = [0, 1, 2].map((now) => set.hit(now).refuse);
  t.deepEqual(hits, [true, true, false]);
});

test("ends after its time", (t) => {
  const set = create();
  set.set({ type: "slow", factor: 4, for: 100 }, 0);
  t.is(set.hit(99).factor, 4);
  t.is(set.hit(100).factor, 1);
});

test("hits about its share of calls", (t) => {
  const set = create();
  set.set({ type: "drop", share: 0.25 }, 0);
  let hits = 0;
  for (let now = 0; now < 1000; now++) if (set.hit(now).drop) hits++;
  t.true(hits > 200 && hits < 300);
});

test("replaces a fault of the same type", (t) => {
  const set = create();
  set.set({ type: "slow", factor: 4 }, 0);
  set.set({ type: "slow", factor: 2 }, 0);
  t.is(set.hit(0).factor, 2);
  set.clear("slow");
  t.is(set.hit(0).factor, 1);
});

test("knows a fault from another value", (t) => {
  t.true(faults.isFault({ type: "late", count: 1 }));
  t.false(faults.isFault({ type: "fire" }));
  t.false(faults.isFault({ type: "late", count: "1" }));
});
