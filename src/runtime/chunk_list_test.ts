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

// Guards against a request of some megabytes that takes a hundred times as much
// while it is read, and against time that grows with the square of its size.
test("small chunks that are joined take about their bytes", (t) => {
  const chunks = chunkLists.ChunkList.create();
  const count = 1_000_000;
  const start = performance.now();
  for (let index = 0; index < count; index++) {
    chunks.pushJoined(Buffer.from([index % 256]));
    if (chunks.heldBytes > 2 * chunks.length + 100_000) {
      return t.fail(`${chunks.heldBytes} bytes for ${chunks.length}`);
    }
  }
  t.log(`${Math.round(performance.now() - start)} ms`);
  const bytes = chunks.take();
  t.is(bytes.length, count);
  t.true(bytes.every((byte, index) => byte === index % 256));
});
