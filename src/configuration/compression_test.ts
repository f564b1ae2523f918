/** @module */

import test from "ava";
import * as configurations from "./mod.ts";

test("decompression returns the compressed text", (t) => {
  const text = JSON.stringify({ routes: ["r-ng\u1ef1a", "r-2"] });
  t.is(configurations.decompress(configurations.compress(text)), text);
});

test("a thousand routes shrink to at most a fifth of their text", (t) => {
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

test("decompression rejects bytes that are not a compressed document", (t) => {
  t.throws(() => configurations.decompress("AAAA"), {
    name: "PackingError",
  });
});
