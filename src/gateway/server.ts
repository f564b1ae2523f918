/** HTTP towards callers, and the answer whether this host takes them.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as contexts from "./context.ts";
import * as httpListener from "../fleet/http_listener.ts";
import * as passages from "./active_request.ts";

/** Milliseconds between looks at the requests that a stop waits for. */
const LOOK = 50;
/** Bytes of the largest head before a configuration bounds it. */
const HEADER_BYTES = 16 * 1024;
/** Milliseconds for which a head may be under way before a configuration
 * bounds it. */
const HEADER_TIMEOUT = 3000;
/** Milliseconds for which idle connections stay open before a configuration
 * says so. */
const IDLE_TIMEOUT = 15_000;

/** What a server needs of its host. */
export interface ServerOptions {
  context: contexts.Context;
  callers: httpListener.ListenAddress;
  readiness?: httpListener.ListenAddress;
  isReady(): boolean;
}

/** Servers for callers and for readiness. */
export class Server {
  readonly #options: ServerOptions;
  readonly #passages = new Set<passages.ActiveRequest>();
  #callers!: http.Server;
  #readiness?: http.Server;
  #isDraining = false;

  private constructor(options: ServerOptions) {
    this.#options = options;
  }

  /** Listens; resolves once callers are taken. */
  static async start(options: ServerOptions): Promise<Server> {
    const server = new Server(options);
    const { callers, readiness } = options;
    server.#callers = await httpListener.listen(
      callers,
      (request, response) => server.#serve(request, response),
      { maxHeaderSize: HEADER_BYTES, connectionsCheckingInterval: 500 },
    );
    server.setTimeouts({
      headerTimeout: HEADER_TIMEOUT,
      idleTimeout: IDLE_TIMEOUT,
    });
    server.#callers.on("clientError", (error, socket) => {
      server.#refuseBytes(error as NodeJS.ErrnoException, socket as net.Socket);
    });
    if (readiness !== undefined) {
      server.#readiness = await httpListener.listen(
        readiness,
        (request, response) => server.#tellReadiness(request, response),
      );
    }
    return server;
  }

  /** Requests under way. */
  get inFlight(): number {
    return this.#passages.size;
  }

  /** Follows the limits of a configuration, in milliseconds. */
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

  /** Says that this host takes no new callers, and goes on serving. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Resolves when no request is under way, or after `patience` milliseconds;
   * what is left then is given up. */
  async finish(patience: number): Promise<void> {
    const { clock } = this.#options.context;
    const until = clock.now() + patience;
    while (this.#passages.size > 0 && clock.now() < until) {
      await new Promise<void>((resolve) =>
        void clock.after(LOOK, () => resolve())
      );
    }
    for (const passage of this.#passages) passage.abort();
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await httpListener.close(this.#callers);
    if (this.#readiness) await httpListener.close(this.#readiness);
  }

  #serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { context } = this.#options;
    response.on("error", (error) => {
      context.logger.debug({ err: error }, "Caller's connection broke");
    });
    const passage = passages.ActiveRequest.start(context, {
      request,
      response,
    });
    this.#passages.add(passage);
    context.metrics.gauge("gateway.in_flight", this.#passages.size);
    void passage.finished.then(() => this.#passages.delete(passage));
  }

  #tellReadiness(
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

  /** Bytes that are no request: nothing of them was passed on. */
  #refuseBytes(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const { metrics, logger } = this.#options.context;
    const { code } = error;
    metrics.count("gateway.refused", 1, { reason: "bytes" });
    logger.debug({ code }, "Bytes of a caller are no request");
    if (!socket.writable || code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const status = CLIENT_ERRORS[code ?? ""] ?? "400 Bad Request";
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

const CLIENT_ERRORS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
