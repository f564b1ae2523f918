/** @module */

import test from "ava";
import * as memo from "./memo.ts";

test("a value is computed once while its dependencies are the same", (t) => {
  const values = memo.Memo.create<number>();
  const hosts = ["one"];
  let computed = 0;
  const get = (dependencies: unknown[]) =>
    values.get("a", dependencies, () => ++computed);
  t.is(get([hosts, 1]), 1);
  t.is(get([hosts, 1]), 1);
  t.is(get([hosts, 2]), 2);
  t.is(get([["one"], 2]), 3);
});

test("keys have separate values, which are discarded together", (t) => {
  const values = memo.Memo.create<string>();
  t.is(values.get("a", [1], () => "first"), "first");
  t.is(values.get("b", [1], () => "second"), "second");
  t.is(values.get("b", [2], () => "third"), "third");
  t.is(values.get("a", [2], () => "fourth"), "fourth");
});
