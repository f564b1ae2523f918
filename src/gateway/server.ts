/** HTTP servers of a gateway host: for callers, and for readiness probes.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as contexts from "./context.ts";
import * as httpListener from "../fleet/http_listener.ts";
import * as activeRequests from "./active_request.ts";
import * as connectionGates from "./connection_gate.ts";
import * as unreadReplies from "./unread_replies.ts";
import * as delays from "../runtime/delay.ts";

/** Interval in milliseconds at which a stop checks for requests in flight. */
const STOP_CHECK_INTERVAL_MS = 50;
/** Bytes of the largest request head until a configuration sets the limit. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Milliseconds within which a request head must arrive until a configuration
 * sets the limit. */
const HEADER_TIMEOUT_MS = 3000;
/** Milliseconds for which idle connections stay open until a configuration sets
 * the limit. */
const IDLE_TIMEOUT_MS = 15_000;

/** Dependencies of a server. */
export interface ServerOptions {
  context: contexts.Context;
  callers: httpListener.ListenAddress;
  readiness?: httpListener.ListenAddress;
  /** Memory of the host in bytes; undefined without a limit. */
  memory?: number;
  isReady(): boolean;
}

/** Server for callers and for readiness probes. */
export class Server {
  readonly #options: ServerOptions;
  readonly #unreadReplies: unreadReplies.UnreadReplies;
  readonly #activeRequests = new Set<activeRequests.ActiveRequest>();
  /** Requests in flight by connection. */
  readonly #inFlight = new WeakMap<net.Socket, number>();
  #callers!: http.Server;
  #readiness?: http.Server;
  #isDraining = false;

  private constructor(options: ServerOptions) {
    this.#options = options;
    const { context: { metrics }, memory } = options;
    this.#unreadReplies = unreadReplies.UnreadReplies.create({
      metrics,
      memory,
      afterTurn: setImmediate,
    });
  }

  /** Listens; resolves once callers can connect. */
  static async start(options: ServerOptions): Promise<Server> {
    const server = new Server(options);
    const { callers, readiness } = options;
    server.#callers = await httpListener.listen(
      callers,
      (request, response) => server.#serve(request, response),
      { maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: 500 },
    );
    server.setTimeouts({
      headerTimeout: HEADER_TIMEOUT_MS,
      idleTimeout: IDLE_TIMEOUT_MS,
    });
    const gate = connectionGates.ConnectionGate.create({
      ...options.context,
      afterTurn: setImmediate,
    });
    // Before the listener that begins to read.
    server.#callers.prependListener("connection", (socket) => {
      gate.take(socket);
    });
    server.#callers.on("clientError", (error, socket) => {
      server.#rejectInvalid(
        error as NodeJS.ErrnoException,
        socket as net.Socket,
      );
    });
    if (readiness !== undefined) {
      server.#readiness = await httpListener.listen(
        readiness,
        (request, response) => server.#answerProbe(request, response),
      );
    }
    return server;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#activeRequests.size;
  }

  /** State for diagnostics. */
  dump(): unknown {
    return this.#unreadReplies.dump();
  }

  /** Sets the timeouts of a configuration, in milliseconds. */
  setTimeouts(
    { headerTimeout, idleTimeout }: {
      headerTimeout: number;
      idleTimeout: number;
    },
  ): void {
    this.#callers.headersTimeout = headerTimeout;
    this.#callers.requestTimeout = 0;
    this.#callers.keepAliveTimeout = idleTimeout;
  }

  /** Reports the host as not ready; requests are still served. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Resolves when no request is in flight and callers have read their replies,
   * or after a timeout in milliseconds; the remaining requests are then
   * aborted. */
  async finish(timeout: number): Promise<void> {
    const { clock } = this.#options.context;
    const deadline = clock.now() + timeout;
    while (this.#hasUnfinished && clock.now() < deadline) {
      await delays.sleep(clock, STOP_CHECK_INTERVAL_MS);
    }
    for (const active of this.#activeRequests) active.abort();
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await httpListener.close(this.#callers);
    if (this.#readiness) await httpListener.close(this.#readiness);
  }

  /** A request ends before its caller has read the whole reply. */
  get #hasUnfinished(): boolean {
    return this.#activeRequests.size > 0 || this.#unreadReplies.sum > 0;
  }

  #serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { context } = this.#options;
    response.on("error", (error) => {
      context.logger.debug({ err: error }, "Connection to a caller failed");
    });
    const active = activeRequests.ActiveRequest.start(context, {
      request,
      response,
      unreadReplies: this.#unreadReplies,
    });
    this.#activeRequests.add(active);
    this.#countOnConnection(request.socket, 1);
    context.metrics.gauge("gateway.in_flight", this.#activeRequests.size);
    void active.finished.then(() => {
      this.#activeRequests.delete(active);
      this.#countOnConnection(request.socket, -1);
    });
  }

  #countOnConnection(socket: net.Socket, change: number): void {
    this.#inFlight.set(socket, (this.#inFlight.get(socket) ?? 0) + change);
  }

  #answerProbe(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const { context, isReady } = this.#options;
    if (!context.protocol.isReadinessProbe(request)) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(isReady() && !this.#isDraining ? 200 : 503).end();
  }

  /** Rejects bytes that are not a valid HTTP request; none were forwarded. Behind
   * a request in flight the caller would take the status for its answer, and 408
   * promises that it has not run, so the connection is closed. */
  #rejectInvalid(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const { metrics, logger } = this.#options.context;
    const { code } = error;
    metrics.count("gateway.refused", 1, { reason: "bytes" });
    logger.debug(
      { code },
      "Invalid HTTP request from a caller; closing its connection",
    );
    const isBusy = (this.#inFlight.get(socket) ?? 0) > 0;
    if (!socket.writable || code === "ECONNRESET" || isBusy) {
      socket.destroy();
      return;
    }
    const status = CLIENT_ERROR_STATUS[code ?? ""] ?? "400 Bad Request";
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

const CLIENT_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
