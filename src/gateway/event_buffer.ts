/** Splits an event stream (server-sent events) after complete events.
 * @module */

/** Complete events, and the last id among them. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
}

const ID_LINE = /^id: ?(.*?)\r?$/gm;

/** Buffers a stream that arrives in chunks; changed in place. */
export class EventBuffer {
  #partial: Buffer = Buffer.alloc(0);

  static create(): EventBuffer {
    return new EventBuffer();
  }

  /** Whether the buffer holds a partial event. */
  get hasPartialEvent(): boolean {
    return this.#partial.length > 0;
  }

  /** Adds a chunk; returns the events that are complete now. */
  push(chunk: Buffer): CompleteEvents {
    const all = this.#partial.length > 0
      ? Buffer.concat([this.#partial, chunk])
      : chunk;
    const end = lastEventEnd(all);
    this.#partial = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, lastId: lastEventId(bytes) };
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

function lastEventId(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined;
  const ids = [...bytes.toString("utf8").matchAll(ID_LINE)];
  return ids.at(-1)?.[1];
}
