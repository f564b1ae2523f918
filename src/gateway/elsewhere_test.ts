/** @module */

import test from "ava";
import * as elsewheres from "./elsewhere.ts";

test("the last words of all hosts are summed up", (t) => {
  const elsewhere = elsewheres.Elsewhere.create();
  elsewhere.note("one", { tokens: 900, streams: 3 }, 0);
  elsewhere.note("one", { tokens: 100, streams: 2 }, 10);
  elsewhere.note("two", { tokens: 50, streams: 1 }, 10);
  t.deepEqual(elsewhere.sum(20), { tokens: 150, streams: 3 });
});

test("a host that says nothing more is forgotten", (t) => {
  const elsewhere = elsewheres.Elsewhere.create();
  elsewhere.note("gone", { tokens: 900, streams: 3 }, 0);
  elsewhere.note("there", { tokens: 50, streams: 1 }, 1000);
  t.deepEqual(elsewhere.sum(2000), { tokens: 50, streams: 1 });
});
