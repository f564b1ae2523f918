/** @module */

import test from "ava";
import * as configurations from "./mod.ts";

test("what is packed comes back", (t) => {
  const text = JSON.stringify({ routes: ["r-ng\u1ef1a", "r-2"] });
  t.is(configurations.decompress(configurations.compress(text)), text);
});

test("a thousand routes take a fifth of their text at most", (t) => {
  const route = (_: unknown, number: number) => ({
    name: `r-${number}`,
    prefix: `/a${number}/`,
    kind: "streaming",
    timeout: 15_000,
    stages: [{ service: "desk", after: [], bytes: 3_000_000 }],
  });
  const text = JSON.stringify(Array.from({ length: 1000 }, route));
  t.true(configurations.compress(text).length < text.length / 5);
});

test("other bytes are not taken for a document", (t) => {
  t.throws(() => configurations.decompress("AAAA"), {
    name: "PackingError",
  });
});
