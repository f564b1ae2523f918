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

/** Sizes of chunks that end within blocks, at their ends and beyond. */
const SIZES = [1, 100, 4096, 30_000, 32_768, 65_536, 65_537, 200_000];

test("the bytes of a long list are those of its chunks", (t) => {
  for (const size of SIZES) {
    for (const count of [1, 2, 3, 70]) {
      const all = Array.from(
        { length: count },
        (_, index) => Buffer.alloc(size, index % 256),
      );
      const chunks = chunkLists.ChunkList.create();
      for (const chunk of all) chunks.push(chunk);
      t.is(chunks.length, size * count);
      t.true(chunks.take().equals(Buffer.concat(all)), `${count} of ${size}`);
      t.deepEqual([chunks.length, chunks.heldBytes], [0, 0]);
    }
  }
});

// Guards against an answer whose bytes change after it was taken, as its memory is
// used for the next one.
test("bytes that were taken stay as they are", (t) => {
  const chunks = chunkLists.ChunkList.create();
  const fill = (value: number) => {
    for (let index = 0; index < 50; index++) {
      chunks.push(Buffer.alloc(4096, value));
    }
    return chunks.take();
  };
  const first = fill(1);
  fill(2);
  t.true(first.every((byte) => byte === 1));
});

// Guards against a host that runs out of memory as endless answers end one after
// another: what an ended one held would stay until 64 MB of buffers are garbage.
test("the memory of a cleared list is used again", (t) => {
  const chunk = Buffer.alloc(64 * 1024).subarray(0, 4096);
  const before = process.memoryUsage().arrayBuffers;
  let peak = 0;
  for (let round = 0; round < 30; round++) {
    const chunks = chunkLists.ChunkList.create();
    while (chunks.length < 10_000_000) chunks.push(chunk);
    peak = Math.max(peak, process.memoryUsage().arrayBuffers - before);
    chunks.clear();
    t.deepEqual([chunks.length, chunks.heldBytes], [0, 0]);
  }
  t.true(peak < 20_000_000, `${peak} bytes`);
});

// Guards against an endless answer in small chunks that costs a host millions of
// calls before it reaches a bound of memory.
test("a chunk counts with its overhead, however long the list is", (t) => {
  const chunks = chunkLists.ChunkList.create();
  const count = 200_000;
  for (let index = 0; index < count; index++) chunks.push(Buffer.from("x"));
  t.true(chunks.heldBytes >= 100 * count);
});
