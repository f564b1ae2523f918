/** @module */

import test from "ava";
import * as memo from "./memo.ts";

test("a value is computed once while its basis is the same", (t) => {
  const values = memo.Memo.create<number>();
  const hosts = ["one"];
  let computed = 0;
  const get = (basis: unknown[]) => values.get("a", basis, () => ++computed);
  t.is(get([hosts, 1]), 1);
  t.is(get([hosts, 1]), 1);
  t.is(get([hosts, 2]), 2);
  t.is(get([["one"], 2]), 3);
});

test("keys have values of their own, forgotten together", (t) => {
  const values = memo.Memo.create<string>();
  t.is(values.get("a", [1], () => "first"), "first");
  t.is(values.get("b", [1], () => "second"), "second");
  t.is(values.get("b", [2], () => "third"), "third");
  t.is(values.get("a", [2], () => "fourth"), "fourth");
});
