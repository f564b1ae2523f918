/** The connection over which this host sends messages to one other host. The
 * receiver acknowledges batches, several at a time, on this connection or with a
 * batch of its own. A connection without a timely acknowledgement is replaced, and
 * its unacknowledged messages are lost.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/peers_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as acknowledgements from "./acknowledgements.ts";
import * as connections from "./connection.ts";
import * as frames from "./frame.ts";
import * as sendQueue from "./send_queue.ts";

/** Time without an acknowledgement after which a connection is replaced: the
 * delay that the receiver may add, and a second for its event loop. */
export const ACK_TIMEOUT_MS = acknowledgements.DELAY_MS + 1000;
/** Time without a batch after which an empty one probes the connection. */
const PROBE_INTERVAL_MS = 5000;
/** Time without messages after which the connection is closed. */
const IDLE_TIMEOUT_MS = 60_000;
/** Maximum number of unacknowledged batches. */
const MAX_BATCHES_IN_FLIGHT = 8;
/** Minimum time that a dial is given before it is replaced; allows some round
 * trips. */
const MIN_DIAL_MS = 60;

const QUEUE_BOUNDS: sendQueue.Bounds = {
  // A snapshot of the largest table takes about 5 MB.
  maxBytes: 8 * 1024 * 1024,
  maxMessageBytes: 4 * 1024 * 1024,
  maxBatchBytes: 256 * 1024,
  maxAgeMs: 3000,
};

/** Options of a link. */
export interface LinkOptions extends connections.Destination {
  readonly clock: runtime.Clock;
  readonly metrics: telemetry.Metrics;
  /** Returns the number of the last frame from the other host's process, if it
   * is to be acknowledged. */
  takeAcknowledgement(incarnation: string | undefined): number | undefined;
  /** Called when frames that carried acknowledgements may be lost. */
  onLoss(): void;
}

/** A batch that is not acknowledged yet. */
interface InFlight {
  readonly sentAt: number;
  readonly messageCount: number;
}

/** Sends messages to one host. */
export class Link {
  readonly #options: LinkOptions;
  readonly #queue: sendQueue.SendQueue;
  readonly #inFlight = new Map<number, InFlight>();
  #connection: connections.Connection;
  /** Incarnation at the other end of the open connection. */
  #incarnation?: string;
  #isOpen = false;
  #isClosed = false;
  #isFlushScheduled = false;
  #batchCount = 0;
  #lastMessageAt: number;
  #lastBatchAt: number;
  #dialledAt = 0;

  private constructor(options: LinkOptions) {
    const { clock, metrics } = options;
    this.#options = options;
    this.#queue = sendQueue.SendQueue.create(
      QUEUE_BOUNDS,
      (reason) => metrics.count("peer.dropped", 1, { reason }),
    );
    this.#lastMessageAt = this.#lastBatchAt = clock.now();
    this.#connection = this.#dial();
  }

  /** Dials; messages are queued until the connection is open. */
  static create(options: LinkOptions): Link {
    return new Link(options);
  }

  /** Queues a message; all messages of the same step are sent together. With an
   * `incarnation` no other one receives it. */
  send(message: schema.Parcel, incarnation?: string): void {
    const now = this.#lastMessageAt = this.#options.clock.now();
    this.#queue.push(message, { now, incarnation });
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    queueMicrotask(() => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  /** Handles that a process of the other host has received all batches up to
   * one. */
  acknowledge(id: number, incarnation: string | undefined): void {
    if (this.#isOpen && incarnation === this.#incarnation) {
      this.#acknowledge(id);
    }
  }

  /** Replaces a silent connection and probes one at rest. If the check is
   * late (`isLate`), this host itself was paused and acknowledgements may be
   * waiting to be read, so silence is ignored. Returns false once the link is
   * idle and may be closed. */
  tick(isLate: boolean): boolean {
    const now = this.#options.clock.now();
    const [oldest] = this.#inFlight.values();
    const isSilent = oldest !== undefined &&
      now - oldest.sentAt >= ACK_TIMEOUT_MS;
    if (isSilent && !isLate) {
      this.#options.metrics.count("peer.silent");
      this.reconnect("silent");
    } else if (this.#isOpen && now - this.#lastBatchAt >= PROBE_INTERVAL_MS) {
      this.#sendBatch({ messages: [], bytes: 0 });
    }
    return now - this.#lastMessageAt < IDLE_TIMEOUT_MS;
  }

  /** Replaces the connection with a new one. */
  reconnect(reason: string): void {
    const { logger, host } = this.#options;
    logger.info({ peer: host, reason }, "Connection replaced");
    this.#connection.close();
    this.#dropInFlight(reason);
    this.#connection = this.#dial();
  }

  /** Dials at once instead of waiting for the next attempt, since the other
   * host has just connected to this one. */
  reconnectNow(): void {
    const now = this.#options.clock.now();
    const isDialling = now - this.#dialledAt < MIN_DIAL_MS;
    if (!this.#isOpen && !this.#isClosed && !isDialling) {
      this.reconnect("awake");
    }
  }

  /** Closes the connection and drops queued messages. */
  close(): void {
    this.#isClosed = true;
    this.#isOpen = false;
    this.#connection.close();
  }

  /** Returns the state for diagnostics. */
  dump(): unknown {
    return {
      open: this.#isOpen,
      waiting: this.#queue.length,
      waitingBytes: this.#queue.bytes,
      underWay: this.#inFlight.size,
      batches: this.#batchCount,
    };
  }

  #dial(): connections.Connection {
    this.#dialledAt = this.#options.clock.now();
    return connections.Connection.dial(this.#options, {
      open: (incarnation) => {
        this.#isOpen = true;
        this.#incarnation = incarnation;
        this.#options.metrics.count("peer.connected");
        this.#flush();
      },
      close: () => this.#dropInFlight("connection"),
      acknowledged: (id) => this.#acknowledge(id),
    });
  }

  #acknowledge(last: number): void {
    for (const id of this.#inFlight.keys()) {
      if (id > last) break;
      this.#inFlight.delete(id);
    }
    this.#flush();
  }

  /** Counts unacknowledged messages as dropped; whether they arrived is
   * unknown. */
  #dropInFlight(reason: string): void {
    this.#isOpen = false;
    const lost = [...this.#inFlight.values()]
      .reduce((sum, { messageCount }) => sum + messageCount, 0);
    if (this.#inFlight.size > 0) this.#options.onLoss();
    this.#inFlight.clear();
    if (lost > 0) this.#options.metrics.count("peer.dropped", lost, { reason });
  }

  #flush(): void {
    while (this.#isOpen && this.#inFlight.size < MAX_BATCHES_IN_FLIGHT) {
      const batch = this.#queue.take({
        now: this.#options.clock.now(),
        incarnation: this.#incarnation,
      });
      if (batch.messages.length === 0) return;
      this.#sendBatch(batch);
    }
  }

  #sendBatch({ messages, bytes }: sendQueue.Batch): void {
    const { clock, metrics, takeAcknowledgement } = this.#options;
    const id = this.#batchCount++;
    this.#lastBatchAt = clock.now();
    const messageCount = messages.length;
    this.#inFlight.set(id, { sentAt: this.#lastBatchAt, messageCount });
    metrics.count("peer.bytes_sent", bytes);
    metrics.count("peer.frames_sent");
    const acknowledged = takeAcknowledgement(this.#incarnation);
    this.#connection.send(frames.encode(id, messages, acknowledged));
  }
}
