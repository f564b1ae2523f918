/** Messages that wait for a connection: bounded in bytes and in age, the
 * oldest going first.
 * @module */

import type * as schema from "../schema/peers_types.ts";
import * as frames from "./frame.ts";

/** Why a message was dropped. */
export type DropReason = "too-large" | "queue-full" | "stale";

/** Bounds of a queue. */
export interface Bounds {
  /** Bytes of all messages that wait. */
  bytes: number;
  /** Bytes of one message. */
  message: number;
  /** Bytes of a batch, unless one message alone is larger. */
  batch: number;
  /** Milliseconds after which a message is of no use any more. */
  age: number;
}

interface Item {
  /** Its text in a frame. */
  parcel: string;
  bytes: number;
  at: number;
}

/** Messages to send at once. */
export interface Batch {
  /** Texts in a frame. */
  messages: string[];
  bytes: number;
}

/** Messages that wait, in order; changed in place. */
export class SendQueue {
  readonly #bounds: Bounds;
  readonly #drop: (reason: DropReason) => void;
  #items: Item[] = [];
  #bytes = 0;

  private constructor(bounds: Bounds, drop: (reason: DropReason) => void) {
    this.#bounds = bounds;
    this.#drop = drop;
  }

  /** An empty queue that calls `drop` for each message it gives up. */
  static create(bounds: Bounds, drop: (reason: DropReason) => void): SendQueue {
    return new SendQueue(bounds, drop);
  }

  /** Number of messages that wait. */
  get length(): number {
    return this.#items.length;
  }

  /** Bytes of the messages that wait. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds a message and drops the oldest past the bound. */
  push(parcel: schema.Parcel, at: number): void {
    const text = frames.encodeMessage(parcel);
    const bytes = Buffer.byteLength(text);
    if (bytes > this.#bounds.message) return this.#drop("too-large");
    this.#items.push({ parcel: text, bytes, at });
    this.#bytes += bytes;
    while (this.#bytes > this.#bounds.bytes) {
      this.#shift();
      this.#drop("queue-full");
    }
  }

  /** Takes out the next messages, leaving out those that are too old. */
  take(now: number): Batch {
    const load: Batch = { messages: [], bytes: 0 };
    while (this.#items.length > 0) {
      const { parcel, bytes, at } = this.#items[0];
      const stale = now - at > this.#bounds.age;
      const full = load.bytes + bytes > this.#bounds.batch;
      if (!stale && full && load.messages.length > 0) break;
      this.#shift();
      if (stale) {
        this.#drop("stale");
        continue;
      }
      load.messages.push(parcel);
      load.bytes += bytes;
    }
    return load;
  }

  #shift(): void {
    this.#bytes -= this.#items.shift()!.bytes;
  }
}
