/** The connection over which this host sends to one other host. Each batch is
 * answered; a connection that does not answer in time is taken for silent and
 * exchanged for a new one, and what was under way is lost.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/peers_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as connections from "./connection.ts";
import * as frames from "./frame.ts";
import * as queue from "./send_queue.ts";

/** Milliseconds in which a batch is answered, or the connection is silent. */
export const ACK_TIMEOUT_MS = 1000;
/** Milliseconds of rest after which an empty batch probes the connection. */
const PROBE = 5000;
/** Milliseconds without messages after which the connection is closed. */
const IDLE = 60_000;
/** Batches under way at once. */
const WINDOW = 8;
/** Milliseconds within which a dial is let go on: some round trips. */
const WAKE_LEAST = 60;

const BOUNDS: queue.Bounds = {
  // A snapshot of the largest table takes about 5 MB.
  bytes: 8 * 1024 * 1024,
  message: 4 * 1024 * 1024,
  batch: 256 * 1024,
  age: 3000,
};

/** What a link needs. */
export interface LinkOptions extends connections.Destination {
  readonly clock: runtime.Clock;
  readonly metrics: telemetry.Metrics;
}

/** Messages that are not acknowledged yet. */
interface UnderWay {
  readonly sentAt: number;
  readonly messages: number;
}

/** Sends messages to one host. */
export class Link {
  readonly #options: LinkOptions;
  readonly #queue: queue.SendQueue;
  readonly #underWay = new Map<number, UnderWay>();
  #connection: connections.Connection;
  #open = false;
  #closed = false;
  #flushing = false;
  #batches = 0;
  #lastMessage: number;
  #lastBatch: number;
  #dialledAt = 0;

  private constructor(options: LinkOptions) {
    const { clock, metrics } = options;
    this.#options = options;
    this.#queue = queue.SendQueue.create(
      BOUNDS,
      (reason) => metrics.count("peer.dropped", 1, { reason }),
    );
    this.#lastMessage = this.#lastBatch = clock.now();
    this.#connection = this.#dial();
  }

  /** Dials; messages wait until the connection is open. */
  static create(options: LinkOptions): Link {
    return new Link(options);
  }

  /** Sends a message with others of the same step. */
  send(parcel: schema.Parcel): void {
    this.#lastMessage = this.#options.clock.now();
    this.#queue.push(parcel, this.#lastMessage);
    if (this.#flushing) return;
    this.#flushing = true;
    queueMicrotask(() => {
      this.#flushing = false;
      this.#flush();
    });
  }

  /** Looks for silence, unless this look is `late`: then this host itself has
   * paused, and answers may wait to be read. False once the link is idle and
   * may be closed. */
  tick(late: boolean): boolean {
    const now = this.#options.clock.now();
    const [oldest] = this.#underWay.values();
    const silent = oldest !== undefined &&
      now - oldest.sentAt >= ACK_TIMEOUT_MS;
    if (silent && !late) {
      this.#options.metrics.count("peer.silent");
      this.reconnect("silent");
    } else if (this.#open && now - this.#lastBatch >= PROBE) {
      this.#deliver({ messages: [], bytes: 0 });
    }
    return now - this.#lastMessage < IDLE;
  }

  /** Exchanges the connection for a new one. */
  reconnect(reason: string): void {
    const { logger, host } = this.#options;
    logger.info({ peer: host, reason }, "Connection replaced");
    this.#connection.close();
    this.#lose(reason);
    this.#connection = this.#dial();
  }

  /** Dials at once where it would wait for its next try: the other host has
   * just shown that it is there. */
  reconnectNow(): void {
    const now = this.#options.clock.now();
    const isDialling = now - this.#dialledAt < WAKE_LEAST;
    if (!this.#open && !this.#closed && !isDialling) this.reconnect("awake");
  }

  /** Closes the connection and drops what waits. */
  close(): void {
    this.#closed = true;
    this.#open = false;
    this.#connection.close();
  }

  /** State for people. */
  dump(): unknown {
    return {
      open: this.#open,
      waiting: this.#queue.length,
      waitingBytes: this.#queue.bytes,
      underWay: this.#underWay.size,
      batches: this.#batches,
    };
  }

  #dial(): connections.Connection {
    this.#dialledAt = this.#options.clock.now();
    return connections.Connection.dial(this.#options, {
      open: () => {
        this.#open = true;
        this.#options.metrics.count("peer.connected");
        this.#flush();
      },
      close: () => this.#lose("connection"),
      acknowledged: (id) => {
        this.#underWay.delete(id);
        this.#flush();
      },
    });
  }

  /** Nobody can tell whether what was under way has arrived. */
  #lose(reason: string): void {
    this.#open = false;
    const lost = [...this.#underWay.values()]
      .reduce((sum, { messages }) => sum + messages, 0);
    this.#underWay.clear();
    if (lost > 0) this.#options.metrics.count("peer.dropped", lost, { reason });
  }

  #flush(): void {
    while (this.#open && this.#underWay.size < WINDOW) {
      const load = this.#queue.take(this.#options.clock.now());
      if (load.messages.length === 0) return;
      this.#deliver(load);
    }
  }

  #deliver({ messages: parcels, bytes }: queue.Batch): void {
    const { clock, metrics } = this.#options;
    const id = this.#batches++;
    this.#lastBatch = clock.now();
    const messages = parcels.length;
    this.#underWay.set(id, { sentAt: this.#lastBatch, messages });
    metrics.count("peer.bytes_sent", bytes);
    this.#connection.send(frames.encode(id, parcels));
  }
}
