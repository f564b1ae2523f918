/** The connection over which this host sends to one other host. Each batch is
 * answered; a connection that does not answer in time is taken for silent and
 * exchanged for a new one, and what was under way is lost.
 * @module */

import * as client from "@trpc/client";
import * as ws from "ws";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/peers_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as queue from "./queue.ts";
import type * as router from "./router.ts";

/** Milliseconds in which a batch is answered, or the connection is silent. */
export const ANSWER_TIMEOUT = 1000;
/** Milliseconds of rest after which an empty batch probes the connection. */
const PROBE = 5000;
/** Milliseconds without messages after which the connection is closed. */
const IDLE = 60_000;
/** Batches under way at once. */
const WINDOW = 8;
/** Milliseconds in which a connection opens. */
const HANDSHAKE_TIMEOUT = 2000;
/** Milliseconds within which a dial is let go on: some round trips. */
const WAKE_LEAST = 60;
const FIRST_RETRY = 100;
const LAST_RETRY = 1000;
/** Bytes of the largest answer. */
const MOST_ANSWER = 64 * 1024;

const BOUNDS: queue.Bounds = {
  // A snapshot of the largest table takes about 5 MB.
  bytes: 8 * 1024 * 1024,
  message: 4 * 1024 * 1024,
  batch: 256 * 1024,
  age: 3000,
};

/** What a link needs. */
export interface LinkOptions {
  /** Host that is dialled. */
  host: string;
  url: string;
  headers: Record<string, string>;
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
}

/** Sends messages to one host. */
export class Link {
  readonly #options: LinkOptions;
  readonly #queue: queue.Queue;
  readonly #underWay = new Map<number, number>();
  #connection: Connection;
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
    this.#queue = queue.Queue.create(
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
    const silent = oldest !== undefined && now - oldest >= ANSWER_TIMEOUT;
    if (silent && !late) {
      this.#options.metrics.count("peer.silent");
      this.replace("silent");
    } else if (this.#open && now - this.#lastBatch >= PROBE) {
      this.#deliver({ batch: [], bytes: 0 });
    }
    return now - this.#lastMessage < IDLE;
  }

  /** Exchanges the connection for a new one. */
  replace(reason: string): void {
    const { logger, host, metrics } = this.#options;
    logger.info({ peer: host, reason }, "Connection replaced");
    const lost = this.#underWay.size;
    if (lost > 0) metrics.count("peer.dropped", lost, { reason });
    this.#connection.close();
    this.#underWay.clear();
    this.#open = false;
    this.#connection = this.#dial();
  }

  /** Dials at once where it would wait for its next try: the other host has
   * just shown that it is there. */
  wake(): void {
    const now = this.#options.clock.now();
    const isDialling = now - this.#dialledAt < WAKE_LEAST;
    if (!this.#open && !this.#closed && !isDialling) this.replace("awake");
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

  #dial(): Connection {
    this.#dialledAt = this.#options.clock.now();
    const connection: Connection = dial(this.#options, {
      open: () => {
        if (connection !== this.#connection || this.#closed) return;
        this.#open = true;
        this.#options.metrics.count("peer.connected");
        this.#flush();
      },
      close: () => {
        if (connection === this.#connection) this.#open = false;
      },
    });
    return connection;
  }

  #flush(): void {
    while (this.#open && this.#underWay.size < WINDOW) {
      const load = this.#queue.take(this.#options.clock.now());
      if (load.batch.length === 0) return;
      this.#deliver(load);
    }
  }

  async #deliver({ batch, bytes }: queue.Load): Promise<void> {
    const { clock, metrics } = this.#options;
    const connection = this.#connection;
    const id = this.#batches++;
    this.#lastBatch = clock.now();
    this.#underWay.set(id, this.#lastBatch);
    metrics.count("peer.bytes_sent", bytes);
    try {
      await connection.proxy.deliver.mutate(batch);
    } catch {
      // A replaced connection was counted when it was replaced.
      if (this.#underWay.has(id)) {
        metrics.count("peer.dropped", batch.length, { reason: "connection" });
      }
    }
    this.#underWay.delete(id);
    this.#flush();
  }
}

interface Connection {
  proxy: client.TRPCClient<router.Router>;
  close(): void;
}

interface Listeners {
  open(): void;
  close(): void;
}

function dial(
  { url, headers, host, logger }: LinkOptions,
  { open, close }: Listeners,
): Connection {
  const sockets = new Set<ws.WebSocket>();
  class Socket extends ws.WebSocket {
    constructor(address: string) {
      super(address, {
        headers,
        handshakeTimeout: HANDSHAKE_TIMEOUT,
        maxPayload: MOST_ANSWER,
        perMessageDeflate: false,
      });
      sockets.add(this);
      this.once("close", () => sockets.delete(this));
    }
  }
  const socketClient = client.createWSClient({
    url,
    // ws differs from the standard in types that are not used here.
    WebSocket: Socket as unknown as typeof globalThis.WebSocket,
    retryDelayMs: (attempt) => Math.min(LAST_RETRY, FIRST_RETRY * 2 ** attempt),
    onOpen: open,
    onClose: close,
    onError: () => {},
  });
  const link = client.wsLink<router.Router>({ client: socketClient });
  const proxy = client.createTRPCClient<router.Router>({ links: [link] });
  return {
    proxy,
    close() {
      socketClient.close().catch((err) =>
        logger.debug({ peer: host, err }, "Connection did not close")
      );
      // A silent connection would not answer a close either.
      for (const socket of sockets) socket.terminate();
    },
  };
}
