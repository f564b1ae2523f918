/** Splits an event stream (server-sent events) after complete events.
 * @module */

import * as chunkLists from "../runtime/chunk_list.ts";

/** Complete events, and the last id among them. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
  /** Whether each id that is a number is above those before it. */
  readonly isInOrder: boolean;
}

const ID_LINE = /^id: ?(.*?)\r?$/gm;
/** Bytes of the longest sequence that ends an event, `\r\n\r\n`, without its
 * last: as many of a partial event may belong to its end. */
const MAX_PARTIAL_END_BYTES = 3;
const NO_BYTES = Buffer.alloc(0);
const NO_EVENTS: CompleteEvents = { bytes: NO_BYTES, isInOrder: true };
const NUMBER = /^\d+$/;

/** Buffers a stream that arrives in chunks; changed in place. */
export class EventBuffer {
  readonly #partial = chunkLists.ChunkList.create();
  /** Last bytes of the partial event. */
  #tail: Buffer = NO_BYTES;
  /** Highest id that is a number. */
  #lastNumber = -Infinity;

  private constructor(resumedAfter?: string) {
    if (resumedAfter !== undefined) this.#recordId(resumedAfter);
  }

  /** Creates an empty buffer of a stream that begins behind an event, if any. */
  static create(
    { resumedAfter }: { readonly resumedAfter?: string } = {},
  ): EventBuffer {
    return new EventBuffer(resumedAfter);
  }

  /** Whether the buffer holds a partial event. */
  get hasPartialEvent(): boolean {
    return this.#partial.length > 0;
  }

  /** Bytes of memory that the partial event takes. */
  get heldBytes(): number {
    return this.#partial.heldBytes;
  }

  /** Adds a chunk; returns the events that are complete now. It takes time in
   * proportion to the chunk and to the events that are returned, however long the
   * partial event is. */
  push(chunk: Buffer): CompleteEvents {
    const searched = this.#tail.length > 0
      ? Buffer.concat([this.#tail, chunk])
      : chunk;
    const end = lastEventEnd(searched);
    if (end === 0) {
      this.#partial.push(chunk);
      this.#tail = Buffer.from(searched.subarray(-MAX_PARTIAL_END_BYTES));
      return NO_EVENTS;
    }
    const endInChunk = end - this.#tail.length;
    const bytes = this.#complete(chunk.subarray(0, endInChunk));
    this.#begin(chunk.subarray(endInChunk));
    const ids = eventIds(bytes);
    const isInOrder = ids
      .map((id) => this.#recordId(id))
      .every((isNext) => isNext);
    return { bytes, lastId: ids.at(-1), isInOrder };
  }

  /** Records an id; returns false if it is a number that is not above the last. */
  #recordId(id: string): boolean {
    if (!NUMBER.test(id)) return true;
    const number = Number(id);
    if (number <= this.#lastNumber) return false;
    this.#lastNumber = number;
    return true;
  }

  /** Removes the partial event. */
  clear(): void {
    this.#partial.clear();
    this.#tail = NO_BYTES;
  }

  /** Adds the end of the partial event and removes it; returns its bytes. */
  #complete(end: Buffer): Buffer {
    if (this.#partial.length === 0) return end;
    this.#partial.push(end);
    return this.#partial.take();
  }

  #begin(event: Buffer): void {
    this.#partial.push(event);
    this.#tail = event.length === 0
      ? NO_BYTES
      : Buffer.from(event.subarray(-MAX_PARTIAL_END_BYTES));
  }
}

/** Offset at which the last complete event ends. */
function lastEventEnd(bytes: Buffer): number {
  const lineFeeds = bytes.lastIndexOf("\n\n");
  const carriageReturns = bytes.lastIndexOf("\r\n\r\n");
  return Math.max(
    lineFeeds < 0 ? 0 : lineFeeds + 2,
    carriageReturns < 0 ? 0 : carriageReturns + 4,
  );
}

function eventIds(bytes: Buffer): string[] {
  if (bytes.length === 0) return [];
  return [...bytes.toString("utf8").matchAll(ID_LINE)].map(([, id]) => id);
}
