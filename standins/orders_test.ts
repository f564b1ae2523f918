import test from "ava";
import * as orders from "./orders.ts";
import * as weightStore from "./weight_store.ts";

const holding: orders.Holding = {
  models: [{ model: "hull", version: "1" }],
  role: "both",
  token: 5,
  loading: false,
};

test("refuses an old fencing token only where it checks", (t) => {
  const old: orders.Fenced = {
    token: 4,
    order: { type: "role", role: "decode" },
  };
  t.false(orders.accepts(holding, old, "checks"));
  t.true(orders.accepts(holding, old, "ignores"));
  t.true(orders.accepts(holding, { ...old, token: 5 }, "checks"));
});

test("replaces the version of a model that it loads again", (t) => {
  const after = orders.apply(holding, {
    token: 6,
    order: { type: "load", model: "hull", version: "2" },
  });
  t.deepEqual(after.models, [{ model: "hull", version: "2" }]);
  t.is(after.token, 6);
});

test("hands out weights no faster than the rate", (t) => {
  const limits = { rate: 2, burst: 1 };
  const first = weightStore.take({ left: 1, at: 0 }, 0, limits);
  t.is(first.wait, 0);
  const second = weightStore.take(first.bucket, 100, limits);
  t.is(second.wait, 400);
  t.is(weightStore.take(second.bucket, 500, limits).wait, 0);
});
