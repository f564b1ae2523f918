/** Accepts new connections of callers, or closes them unread while more come than
 * the host can serve.
 * @module */

import type * as net from "node:net";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as acceptQueues from "./accept_queue.ts";

/** Time in milliseconds between two log lines about closed connections. */
const LOG_INTERVAL_MS = 1000;

/** Dependencies of a `ConnectionGate`. */
export interface ConnectionGateOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  /** Milliseconds for which this process has run. */
  processorTime(): number;
  /** Begins to read a connection. */
  read(socket: net.Socket): void;
  /** Runs a callback in the next turn of the event loop, after its accepts. */
  afterTurn(callback: () => void): void;
}

/** Decides which new connections are read. */
export class ConnectionGate {
  readonly #options: ConnectionGateOptions;
  readonly #queue = acceptQueues.AcceptQueue.create();
  #isWatching = false;
  /** Whether a connection was accepted in this turn. */
  #hasAccepted = false;
  /** Connections that are neither read nor closed yet. */
  #held: net.Socket[] = [];
  /** Connections closed since the last log line. */
  #closedCount = 0;

  private constructor(options: ConnectionGateOptions) {
    this.#options = options;
  }

  static create(options: ConnectionGateOptions): ConnectionGate {
    return new ConnectionGate(options);
  }

  /** Takes a new connection, of which nothing has been read. */
  take(socket: net.Socket): void {
    this.#hasAccepted = true;
    this.#watch();
    const { clock, processorTime } = this.#options;
    const verdict = this.#queue.accept({
      now: clock.now(),
      processor: processorTime(),
    });
    this.#handlers[verdict](socket);
  }

  /** Closes the connections that are held. */
  closeHeld(): void {
    for (const socket of this.#takeHeld()) this.#close(socket);
  }

  /** Watches for a turn without a connection. */
  #watch(): void {
    if (this.#isWatching) return;
    this.#isWatching = true;
    this.#options.afterTurn(() => this.#checkTurn());
  }

  #checkTurn(): void {
    this.#isWatching = false;
    if (!this.#hasAccepted) return this.#recordEmpty();
    this.#hasAccepted = false;
    this.#watch();
  }

  #recordEmpty(): void {
    const { logger, read } = this.#options;
    this.#queue.recordEmpty();
    const held = this.#takeHeld();
    if (held.length === 0) return;
    logger.info(
      { held: held.length },
      "Connections waited to be accepted; they are few and are read",
    );
    held.forEach((socket) => read(socket));
  }

  #takeHeld(): net.Socket[] {
    const held = this.#held;
    this.#held = [];
    return held;
  }

  readonly #handlers: Record<
    acceptQueues.Verdict,
    (socket: net.Socket) => void
  > = {
    read: (socket) => this.#options.read(socket),
    hold: (socket) => this.#held.push(socket),
    close: (socket) => {
      this.closeHeld();
      this.#close(socket);
    },
  };

  #close(socket: net.Socket): void {
    const { clock, logger, metrics } = this.#options;
    socket.destroy();
    metrics.count("gateway.closed_unread");
    this.#closedCount++;
    if (this.#closedCount > 1) return;
    clock.after(LOG_INTERVAL_MS, () => {
      logger.info(
        { closed: this.#closedCount, spanMs: LOG_INTERVAL_MS },
        "Connections closed unread; more came than this host can serve",
      );
      this.#closedCount = 0;
    });
  }
}
