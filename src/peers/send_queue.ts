/** Queue of messages that wait for a connection, limited in size and age; the
 * oldest messages are dropped first.
 * @module */

import type * as schema from "../schema/peers_types.ts";
import * as frames from "./frame.ts";

/** Why a message is dropped. */
export type DropReason =
  | "too-large"
  | "queue-full"
  | "stale"
  | "former-incarnation";

/** Limits of a queue. */
export interface Bounds {
  /** Maximum size of all queued messages, in bytes. */
  maxBytes: number;
  /** Maximum size of one message, in bytes. */
  maxMessageBytes: number;
  /** Maximum size of a batch in bytes, unless a single message is larger. */
  maxBatchBytes: number;
  /** Maximum age of a message, in milliseconds. */
  maxAgeMs: number;
}

interface Item {
  /** The encoded message. */
  message: string;
  bytes: number;
  queuedAt: number;
  /** The only incarnation that the message is for; undefined if for any. */
  incarnation?: string;
}

/** The receiver of a batch. */
interface Receiver {
  now: number;
  /** Incarnation of the receiver; undefined if it has not stated one. */
  incarnation?: string;
}

/** Messages to be sent in one frame. */
export interface Batch {
  /** The encoded messages. */
  messages: string[];
  bytes: number;
}

/** Queued messages in order; mutable. */
export class SendQueue {
  readonly #bounds: Bounds;
  readonly #drop: (reason: DropReason) => void;
  #items: Item[] = [];
  #bytes = 0;

  private constructor(bounds: Bounds, drop: (reason: DropReason) => void) {
    this.#bounds = bounds;
    this.#drop = drop;
  }

  /** Creates an empty queue that calls `drop` for each dropped message. */
  static create(bounds: Bounds, drop: (reason: DropReason) => void): SendQueue {
    return new SendQueue(bounds, drop);
  }

  /** Number of queued messages. */
  get length(): number {
    return this.#items.length;
  }

  /** Size of the queued messages, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds a message, and drops the oldest ones if the queue exceeds its limit. */
  push(
    message: schema.Parcel,
    { now, incarnation }: Receiver,
  ): void {
    const text = frames.encodeMessage(message);
    const bytes = Buffer.byteLength(text);
    if (bytes > this.#bounds.maxMessageBytes) return this.#drop("too-large");
    this.#items.push({ message: text, bytes, queuedAt: now, incarnation });
    this.#bytes += bytes;
    while (this.#bytes > this.#bounds.maxBytes) {
      this.#shift();
      this.#drop("queue-full");
    }
  }

  /** Removes and returns the next batch; drops messages that are too old or for
   * another incarnation of the receiver. */
  take(receiver: Receiver): Batch {
    const batch: Batch = { messages: [], bytes: 0 };
    while (this.#items.length > 0) {
      const { message, bytes } = this.#items[0];
      const dropReason = this.#dropReasonOf(this.#items[0], receiver);
      const isFull = batch.bytes + bytes > this.#bounds.maxBatchBytes;
      const isSent = dropReason === undefined;
      if (isSent && isFull && batch.messages.length > 0) break;
      this.#shift();
      if (!isSent) {
        this.#drop(dropReason);
        continue;
      }
      batch.messages.push(message);
      batch.bytes += bytes;
    }
    return batch;
  }

  #dropReasonOf(
    { queuedAt, incarnation }: Item,
    receiver: Receiver,
  ): DropReason | undefined {
    if (receiver.now - queuedAt > this.#bounds.maxAgeMs) return "stale";
    const isOther = incarnation !== undefined &&
      incarnation !== receiver.incarnation;
    return isOther ? "former-incarnation" : undefined;
  }

  #shift(): void {
    this.#bytes -= this.#items.shift()!.bytes;
  }
}
