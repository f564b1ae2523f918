/** Chunks of an answer or a request that is not yet complete.
 * @module */

import * as collectors from "./collector.ts";

/** Memory that a chunk takes beside its bytes: the object, the entry of the list
 * and its allocation. An answer in chunks of one byte takes this much for each
 * byte of it. */
const CHUNK_OVERHEAD_BYTES = 200;
/** Memory beside their bytes that chunks may take before they are joined. */
const MAX_LOOSE_OVERHEAD_BYTES = 16 * 1024;
/** Bytes of a block, to which the chunks of a long list are copied. */
const BLOCK_BYTES = 64 * 1024;
/** Bytes above which a list uses blocks: a shorter one would waste most of a
 * block. */
const MIN_BLOCK_LIST_BYTES = 32 * 1024;
/** Blocks that are kept for reuse. V8 collects buffers once 64 MB more have been
 * allocated since it last did, which is more than a small host has left. */
const MAX_FREE_BLOCKS = 160;
/** Part of its memory that a chunk must fill to be kept as it is. Smaller ones
 * would keep all that was read with them, such as the framing of chunks. */
const MIN_FILL_RATIO = 1 / 2;

/** Blocks that no list uses. */
const freeBlocks: Buffer[] = [];

/** Chunks in the order in which they came; changed in place. */
export class ChunkList {
  /** Chunks before those in blocks. */
  #chunks: Buffer[] = [];
  /** All are full but the last. */
  #blocks: Buffer[] = [];
  /** Bytes in blocks. */
  #blockLength = 0;
  #length = 0;
  #count = 0;

  static create(): ChunkList {
    return new ChunkList();
  }

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the chunks take. Those in blocks count as others do, as
   * each has cost the time in which a host receives a chunk: the bound on the
   * memory of an answer bounds its number of chunks. */
  get heldBytes(): number {
    return this.#length + CHUNK_OVERHEAD_BYTES * this.#count;
  }

  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.#length += chunk.length;
    this.#count++;
    if (this.#length > MIN_BLOCK_LIST_BYTES) return this.#pushToBlocks(chunk);
    const isFilled = chunk.length >= MIN_FILL_RATIO * chunk.buffer.byteLength;
    this.#chunks.push(isFilled ? chunk : Buffer.from(chunk));
  }

  /** Adds a chunk of a body whose size is bounded by itself; joins the chunks when
   * they take much more memory than their bytes. Each chunk costs the copy of a
   * constant number of bytes on average. */
  pushJoined(chunk: Buffer): void {
    this.push(chunk);
    const hasBlocks = this.#blocks.length > 0;
    const overhead = CHUNK_OVERHEAD_BYTES * this.#chunks.length;
    const isExcessive = overhead > this.#looseLength + MAX_LOOSE_OVERHEAD_BYTES;
    if (this.#chunks.length > 1 && (hasBlocks || isExcessive)) {
      this.#chunks = [Buffer.concat(this.#chunks, this.#looseLength)];
    }
    // Chunks that are copied to blocks take their bytes alone.
    this.#count = this.#chunks.length;
  }

  /** Bytes before those in blocks. */
  get #looseLength(): number {
    return this.#length - this.#blockLength;
  }

  /** Removes all chunks; returns their bytes. */
  take(): Buffer {
    const chunks = [...this.#chunks, ...this.#filledBlocks()];
    const isLoose = chunks.length === 1 && this.#blocks.length === 0;
    if (this.#blocks.length > 0) collectors.shared.addUnused(this.#length);
    const bytes = isLoose ? chunks[0] : Buffer.concat(chunks, this.#length);
    this.clear();
    return bytes;
  }

  /** Removes all chunks; their memory is used again. */
  clear(): void {
    const room = MAX_FREE_BLOCKS - freeBlocks.length;
    freeBlocks.push(...this.#blocks.slice(0, room));
    const unusedCount = this.#blocks.length - room;
    if (unusedCount > 0) {
      collectors.shared.addUnused(unusedCount * BLOCK_BYTES);
    }
    this.#chunks = [];
    this.#blocks = [];
    this.#blockLength = 0;
    this.#length = 0;
    this.#count = 0;
  }

  #pushToBlocks(chunk: Buffer): void {
    collectors.shared.addUnused(chunk.length);
    let copied = 0;
    while (copied < chunk.length) {
      const offset = this.#blockLength % BLOCK_BYTES;
      if (offset === 0) {
        this.#blocks.push(
          freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
        );
      }
      const size = chunk.copy(this.#blocks.at(-1)!, offset, copied);
      copied += size;
      this.#blockLength += size;
    }
  }

  /** The blocks, the last without what is not filled. */
  #filledBlocks(): Buffer[] {
    return this.#blocks.map((block, index) =>
      block.subarray(0, this.#blockLength - index * BLOCK_BYTES)
    );
  }
}
