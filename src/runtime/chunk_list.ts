/** Chunks of an answer or a request that is not yet complete.
 * @module */

/** Memory that a chunk takes beside its bytes: the object, the entry of the list
 * and its allocation. An answer in chunks of one byte takes this much for each
 * byte of it. */
const CHUNK_OVERHEAD_BYTES = 200;
/** Memory beside their bytes that chunks may take before they are joined. */
const MAX_LOOSE_OVERHEAD_BYTES = 64 * 1024;
/** Part of its memory that a chunk must fill to be kept as it is. Smaller ones
 * would keep all that was read with them, such as the framing of chunks. */
const MIN_FILL_RATIO = 1 / 2;

/** Chunks in the order in which they came; changed in place. */
export class ChunkList {
  #chunks: Buffer[] = [];
  #length = 0;

  static create(): ChunkList {
    return new ChunkList();
  }

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the chunks take. */
  get heldBytes(): number {
    return this.#length + CHUNK_OVERHEAD_BYTES * this.#chunks.length;
  }

  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    const isFilled = chunk.length >= MIN_FILL_RATIO * chunk.buffer.byteLength;
    this.#chunks.push(isFilled ? chunk : Buffer.from(chunk));
    this.#length += chunk.length;
  }

  /** Adds a chunk of a body whose size is bounded by itself; joins the chunks when
   * they take much more memory than their bytes. Each chunk costs the copy of a
   * constant number of bytes on average. */
  pushJoined(chunk: Buffer): void {
    this.push(chunk);
    const overhead = this.heldBytes - this.#length;
    if (overhead <= this.#length + MAX_LOOSE_OVERHEAD_BYTES) return;
    this.push(this.take());
  }

  /** Removes all chunks; returns their bytes. */
  take(): Buffer {
    const bytes = this.#chunks.length === 1
      ? this.#chunks[0]
      : Buffer.concat(this.#chunks, this.#length);
    this.#chunks = [];
    this.#length = 0;
    return bytes;
  }
}
