/** Splits an event stream (server-sent events) after complete events.
 * @module */

import * as chunkLists from "../runtime/chunk_list.ts";
import * as eventOrders from "./event_order.ts";

/** Complete events, and whether they can follow what came before. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Whether each event can follow the one before it. */
  readonly isInOrder: boolean;
  /** Order of the stream behind them, or behind the last one that can follow. */
  readonly order: eventOrders.EventOrder;
  /** Id of the event that can't follow, if it has one. */
  readonly misfit?: string;
  /** Whether they hold the first line of another answer. */
  readonly holdsHead: boolean;
}

const LINE_END = /\r\n|\n|\r/;
/** Fields of events have other names. */
const STATUS_LINE = /^HTTP\/1\.[01] \d{3}(?: |$)/;
/** Bytes of the longest sequence that ends an event, `\r\n\r\n`, without its
 * last: as many of a partial event may belong to its end. */
const MAX_PARTIAL_END_BYTES = 3;
const NO_BYTES = Buffer.alloc(0);

/** Buffers a stream that arrives in chunks; changed in place. */
export class EventBuffer {
  readonly #partial = chunkLists.ChunkList.create();
  /** Last bytes of the partial event. */
  #tail: Buffer = NO_BYTES;
  #order: eventOrders.EventOrder;

  private constructor(order: eventOrders.EventOrder) {
    this.#order = order;
  }

  /** Creates an empty buffer of an answer that goes on with a stream, if any. */
  static create(
    { order = eventOrders.EventOrder.create() }: {
      readonly order?: eventOrders.EventOrder;
    } = {},
  ): EventBuffer {
    return new EventBuffer(order.continued());
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
      return {
        bytes: NO_BYTES,
        isInOrder: true,
        holdsHead: false,
        order: this.#order,
      };
    }
    const endInChunk = end - this.#tail.length;
    const bytes = this.#complete(chunk.subarray(0, endInChunk));
    this.#begin(chunk.subarray(endInChunk));
    const { ids, holdsHead } = readEvents(bytes);
    return { bytes, holdsHead, ...this.#follow(ids) };
  }

  /** Adds events to the order of the stream, up to one that can't follow. */
  #follow(
    ids: readonly (string | undefined)[],
  ): Omit<CompleteEvents, "bytes" | "holdsHead"> {
    for (const id of ids) {
      const order = this.#order.next(id);
      if (order === undefined) {
        return { isInOrder: false, order: this.#order, misfit: id };
      }
      this.#order = order;
    }
    return { isInOrder: true, order: this.#order };
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

/** Reads complete events: their ids by the rules of server-sent events, where the
 * last `id` field counts, in latin1, as headers have them. What has neither an id
 * nor data is no event. */
function readEvents(
  bytes: Buffer,
): { ids: (string | undefined)[]; holdsHead: boolean } {
  let holdsHead = false;
  const ids: (string | undefined)[] = [];
  let id: string | undefined;
  let isEvent = false;
  for (const line of bytes.toString("latin1").split(LINE_END)) {
    if (line === "") {
      if (isEvent) ids.push(id);
      id = undefined;
      isEvent = false;
      continue;
    }
    const colon = line.indexOf(":");
    const name = colon < 0 ? line : line.slice(0, colon);
    if (name === "id") id = colon < 0 ? "" : valueBehind(line, colon);
    isEvent ||= name === "id" || name === "data";
    holdsHead ||= STATUS_LINE.test(line);
  }
  return { ids, holdsHead };
}

function valueBehind(line: string, colon: number): string {
  return line.slice(line[colon + 1] === " " ? colon + 2 : colon + 1);
}
