/** @module */

import test from "ava";
import * as answeredParts from "./answered_parts.ts";

test("the least recently answered parts are forgotten first", (t) => {
  const parts = answeredParts.AnsweredParts.create();
  parts.add(["first"]);
  parts.add(["again"]);
  for (let number = 0; number < 4095; number++) {
    parts.add(["again", `part ${number}`]);
  }
  t.is(parts.countOf("first"), 0);
  t.is(parts.countOf("again"), 4096);
  t.is(parts.countOf("part 0"), 1);
});
