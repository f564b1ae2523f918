/** Bound on the connections to a server, so that a crowd takes neither the
 * descriptors nor the memory that the host needs for its other work. A new
 * connection beyond the bound takes the place of the one that has done nothing for
 * longest; connections with a whole request in work keep theirs. Pipelined requests
 * are bounded too, as each is in work as soon as it is read.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Part of the bound on connections that pipelined requests may be beside one
 * request on each connection. */
const PIPELINED_RATIO = 1 / 4;
/** Milliseconds for which requests of a closed connection count: the connections
 * that were opened for their calls stay open for about as long. */
const CALL_RELEASE_MS = 2000;
/** Milliseconds between two log lines about closed connections. */
const LOG_INTERVAL_MS = 1000;

/** Why a connection is closed: it made room for a new one, no other could make room
 * for it, or it has too many requests in work. */
type CloseReason = "idle" | "full" | "pipelined";

/** Bounds of a server. */
export interface ConnectionBounds {
  readonly maxConnections: number;
  /** Most requests in work on one connection. */
  readonly maxPipelined: number;
}

/** Dependencies of a limit. */
export interface ConnectionLimitOptions extends ConnectionBounds {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  /** Name of the server in metrics and log lines. */
  readonly server: string;
}

/** What is done with a connection. */
export type Socket = Pick<net.Socket, "destroy" | "destroyed" | "once">;

/** Requests in work on a connection. */
interface Work {
  count: number;
  last?: Pick<http.IncomingMessage, "complete">;
}

/** Connections of a server; changed in place. */
export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions;
  /** The connection that has done nothing for longest first. */
  readonly #works = new Map<Socket, Work>();
  #requestCount = 0;
  #closedCounts: Partial<Record<CloseReason, number>> = {};

  private constructor(options: ConnectionLimitOptions) {
    this.#options = options;
  }

  static create(options: ConnectionLimitOptions): ConnectionLimit {
    return new ConnectionLimit(options);
  }

  /** Number of connections. */
  get size(): number {
    return this.#works.size;
  }

  /** Takes a new connection, in place of another one if there are too many. */
  take(socket: Socket): void {
    if (socket.destroyed) return;
    if (this.#works.size >= this.#options.maxConnections) {
      const idle = this.#longestIdle();
      if (idle === undefined) return this.#close(socket, "full");
      this.#close(idle, "idle");
    }
    this.#works.set(socket, { count: 0 });
    socket.once("close", () => this.#forget(socket));
  }

  /** Records a request; returns false if it is not to be served, as its connection
   * is closed. */
  begin(
    socket: Socket,
    { request, response }: {
      request: Pick<http.IncomingMessage, "complete">;
      response: Pick<http.ServerResponse, "once">;
    },
  ): boolean {
    const work = this.#works.get(socket);
    if (socket.destroyed || work === undefined) return false;
    if (!this.#hasRoom(work)) {
      this.#close(socket, "pipelined");
      return false;
    }
    work.count++;
    work.last = request;
    this.#requestCount++;
    this.#renew(socket, work);
    response.once("close", () => {
      if (this.#works.get(socket) !== work) return;
      work.count--;
      this.#requestCount--;
      this.#renew(socket, work);
    });
    return true;
  }

  /** Whether a further request on a connection may be served. */
  #hasRoom({ count }: Work): boolean {
    const { maxConnections, maxPipelined } = this.#options;
    const maxRequests = (1 + PIPELINED_RATIO) * maxConnections;
    return count === 0 ||
      count < maxPipelined && this.#requestCount < maxRequests;
  }

  #renew(socket: Socket, work: Work): void {
    this.#works.delete(socket);
    this.#works.set(socket, work);
  }

  /** The connection that has waited for its caller for longest: for a request, or
   * else for the rest of one. */
  #longestIdle(): Socket | undefined {
    let receiving: Socket | undefined;
    for (const [socket, { count, last }] of this.#works) {
      if (count === 0) return socket;
      if (count === 1 && !last!.complete) receiving ??= socket;
    }
    return receiving;
  }

  #close(socket: Socket, reason: CloseReason): void {
    this.#forget(socket);
    socket.destroy();
    this.#recordClosed(reason);
  }

  #forget(socket: Socket): void {
    const { count = 0 } = this.#works.get(socket) ?? {};
    this.#works.delete(socket);
    if (count === 0) return;
    this.#options.clock.after(CALL_RELEASE_MS, () => {
      this.#requestCount -= count;
    });
  }

  #recordClosed(reason: CloseReason): void {
    const { clock, logger, metrics, server, maxConnections } = this.#options;
    metrics.count("connections.closed", 1, { server, reason });
    const isFirst = Object.keys(this.#closedCounts).length === 0;
    this.#closedCounts[reason] = (this.#closedCounts[reason] ?? 0) + 1;
    if (!isFirst) return;
    clock.after(LOG_INTERVAL_MS, () => {
      const closed = this.#closedCounts;
      this.#closedCounts = {};
      logger.warn(
        { server, closed, open: this.size, maxConnections },
        "Connections closed, as there are too many or too many requests on one",
      );
    });
  }
}
