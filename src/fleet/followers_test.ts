/** @module */

import test from "ava";
import * as followers from "./followers.ts";

test("a host follows for as long as it asks", (t) => {
  const list = followers.Followers.create();
  list.note("a", 0);
  list.note("b", 2000);
  t.deepEqual(list.live(3000), ["a", "b"]);
  list.note("a", 3000);
  t.deepEqual(list.live(5500), ["a"]);
  t.deepEqual(list.live(6001), []);
});
