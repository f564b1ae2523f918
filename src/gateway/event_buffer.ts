/** Cuts the text of an event stream behind whole events.
 * @module */

/** Whole events, and the id of the last one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
}

const ID_LINE = /^id: ?(.*?)\r?$/gm;

/** Event text that arrives in parts; changed in place. */
export class EventBuffer {
  #rest: Buffer = Buffer.alloc(0);

  static create(): EventBuffer {
    return new EventBuffer();
  }

  /** Whether an event has begun that is not whole. */
  get hasPartialEvent(): boolean {
    return this.#rest.length > 0;
  }

  /** Adds a part; gives the events that are whole now. */
  push(part: Buffer): CompleteEvents {
    const all = this.#rest.length > 0
      ? Buffer.concat([this.#rest, part])
      : part;
    const end = endOf(all);
    this.#rest = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, lastId: lastIdOf(bytes) };
  }
}

/** Where the last whole event ends. */
function endOf(bytes: Buffer): number {
  const plain = bytes.lastIndexOf("\n\n");
  const carried = bytes.lastIndexOf("\r\n\r\n");
  return Math.max(
    plain < 0 ? 0 : plain + 2,
    carried < 0 ? 0 : carried + 4,
  );
}

function lastIdOf(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined;
  const ids = [...bytes.toString("utf8").matchAll(ID_LINE)];
  return ids.at(-1)?.[1];
}
