import test from "ava";
import * as result from "./result.ts";

function createResult(fields: Partial<result.Result> = {}): result.Result {
  return { name: "r", unit: "", value: 1, kind: "ratio", ...fields };
}

test("names the bound that a result breaks", (t) => {
  const bound = { least: 2, most: 3 };
  t.is(result.broken(createResult({ bound })), "r is 1, below 2");
  t.is(result.broken(createResult({ bound, value: 4 })), "r is 4, above 3");
  t.is(result.broken(createResult({ bound, value: 2.5 })), undefined);
  t.is(result.broken(createResult({ value: NaN })), "r is not a number");
});

test("lets ratios drift a little, counts not, and times freely", (t) => {
  const old = createResult();
  t.is(result.changed(createResult({ value: 1.2 }), old), undefined);
  t.is(result.changed(createResult({ value: 1.3 }), old), "r is 1.3, was 1");
  const count = createResult({ kind: "count", value: 2 });
  t.is(result.changed(count, old), "r is 2, was 1");
  const time = createResult({ kind: "time", value: 99 });
  t.is(result.changed(time, old), undefined);
});

test("lets a result become better, but not worse", (t) => {
  const old = createResult();
  t.is(result.changed(createResult({ value: 0.5 }), old), undefined);
  const share = createResult({ bound: { least: 0 }, value: 0.5 });
  t.is(result.changed(share, old), "r is 0.5, was 1");
  const more = createResult({ bound: { least: 0 }, value: 1.5 });
  t.is(result.changed(more, old), undefined);
});

test("finds memory that grew by half and a speed that fell to a fourth", (t) => {
  const size = createResult({ kind: "size", value: 1.5 });
  t.is(result.changed(size, createResult()), "r is 1.5, was 1");
  const speed = createResult({ kind: "speed", value: 4 });
  t.is(result.changed(speed, createResult()), "r is 4, was 1");
  const noisy = createResult({ kind: "speed", value: 2.5 });
  t.is(result.changed(noisy, createResult()), undefined);
});
