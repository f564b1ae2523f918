import test from "ava";
import * as jsonValues from "./json_values.ts";

test("a text with many values exceeds their bound, a long one with few does not", (t) => {
  const many = Buffer.from(`[${"{},".repeat(1000)}{}]`);
  const long = Buffer.from(JSON.stringify({ text: "x".repeat(100_000) }));
  t.true(jsonValues.exceed(many, 1000));
  t.false(jsonValues.exceed(many, 3000));
  t.false(jsonValues.exceed(long, 1000));
  t.false(jsonValues.exceed(Buffer.from("[1,2,3]"), 1000));
});
