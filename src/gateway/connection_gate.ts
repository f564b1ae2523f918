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
  /** Connections closed since the last log line. */
  #closedCount = 0;

  private constructor(options: ConnectionGateOptions) {
    this.#options = options;
  }

  static create(options: ConnectionGateOptions): ConnectionGate {
    return new ConnectionGate(options);
  }

  /** Takes a new connection; closes it if it is not to be read. */
  take(socket: Pick<net.Socket, "destroy">): void {
    const { clock } = this.#options;
    this.#hasAccepted = true;
    this.#watch();
    if (this.#queue.accept(clock.now()) === "read") return;
    socket.destroy();
    this.#recordClosed();
  }

  /** Watches for a turn without a connection. */
  #watch(): void {
    if (this.#isWatching) return;
    this.#isWatching = true;
    this.#options.afterTurn(() => this.#checkTurn());
  }

  #checkTurn(): void {
    this.#isWatching = false;
    if (!this.#hasAccepted) return this.#queue.recordEmpty();
    this.#hasAccepted = false;
    this.#watch();
  }

  #recordClosed(): void {
    const { clock, logger, metrics } = this.#options;
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
