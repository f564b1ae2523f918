/** @module */

import test from "ava";
import * as chunkLists from "./chunk_list.ts";

test("the bytes are taken in their order, once", (t) => {
  const chunks = chunkLists.ChunkList.create();
  for (const text of ["on", "", "e t", "wo"]) chunks.push(Buffer.from(text));
  t.is(chunks.length, 7);
  t.is(`${chunks.take()}`, "one two");
  t.deepEqual([chunks.length, chunks.heldBytes], [0, 0]);
  t.is(`${chunks.take()}`, "");
});

// Guards against a bound that counts bytes while an answer in chunks of one byte
// takes some hundred times as much memory.
test("small chunks count with the memory that they take", (t) => {
  const chunks = chunkLists.ChunkList.create();
  const count = 20_000;
  const before = process.memoryUsage();
  for (let index = 0; index < count; index++) {
    const read = Buffer.alloc(10_000);
    chunks.push(read.subarray(5000, 5001));
  }
  const after = process.memoryUsage();
  // All that was read is 200 MB.
  const kept = after.arrayBuffers - before.arrayBuffers;
  t.is(chunks.length, count);
  t.true(chunks.heldBytes >= 100 * count);
  t.true(kept < 100_000_000, `${kept} bytes kept`);
});
