/** HTTP servers of a gateway host: for callers, and for readiness probes.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as contexts from "./context.ts";
import type * as connectionLimits from "../fleet/connection_limit.ts";
import * as httpListener from "../fleet/http_listener.ts";
import * as activeRequests from "./active_request.ts";
import * as callerConnections from "./caller_connection.ts";
import * as connectionGates from "./connection_gate.ts";
import * as lingeringCloses from "../fleet/lingering_closes.ts";
import * as requestBodies from "../fleet/request_bodies.ts";
import * as unreadReplies from "./unread_replies.ts";
import * as delays from "../runtime/delay.ts";

/** Time in milliseconds in which the refusals of a stop are sent: they are small,
 * but may stand behind one another on a connection. */
const REFUSAL_TIMEOUT_MS = 200;
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
  /** Most bytes that the host may hold for all requests together; without a bound
   * when absent. */
  maxRequestBytes?: number;
  /** Bounds the callers' connections; without a bound when absent. */
  connectionLimit?: connectionLimits.ConnectionLimit;
  /** The same for readiness probes. */
  readinessLimit?: connectionLimits.ConnectionLimit;
  isReady(): boolean;
}

/** Server for callers and for readiness probes. */
export class Server {
  readonly #options: ServerOptions;
  readonly #unreadReplies: unreadReplies.UnreadReplies;
  readonly #requestBodies: requestBodies.RequestBodies;
  readonly #lingeringCloses: lingeringCloses.LingeringCloses;
  readonly #activeRequests = new Set<activeRequests.ActiveRequest>();
  /** Connections with a reply that is not sent whole. */
  readonly #busy = new Set<callerConnections.CallerConnection>();
  readonly #connections = new WeakMap<
    net.Socket,
    callerConnections.CallerConnection
  >();
  #callers!: http.Server;
  #readiness?: http.Server;
  #isDraining = false;

  private constructor(options: ServerOptions) {
    this.#options = options;
    const { context: { metrics, partialAnswers }, memory } = options;
    const { maxRequestBytes = Infinity } = options;
    this.#unreadReplies = unreadReplies.UnreadReplies.create({
      metrics,
      memory,
      afterTurn: setImmediate,
    });
    this.#lingeringCloses = lingeringCloses.LingeringCloses.create(
      options.context,
    );
    this.#requestBodies = requestBodies.RequestBodies.create({
      metrics,
      maxBytes: maxRequestBytes,
      otherBytes: () => this.#unreadReplies.sum + partialAnswers.sum,
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
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: 500,
        connectionLimit: options.connectionLimit,
      },
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
      // Before the listener of Node that closes the connection.
      socket.once("end", () => server.#endCaller(socket));
    });
    // Replies are sent after a caller has ended its side, as its requests end at
    // that moment or can't be cancelled. Types and pages of Node lack the property.
    Object.assign(server.#callers, { httpAllowHalfOpen: true });
    server.#callers.on("clientError", (error, socket) => {
      server.#rejectInvalid(
        error as NodeJS.ErrnoException,
        socket as net.Socket,
      );
    });
    server.#callers.on("timeout", closeIfIdle);
    server.#callers.on("connect", (_, socket) => {
      server.#rejectConnect(socket as net.Socket);
    });
    if (readiness !== undefined) {
      server.#readiness = await httpListener.listen(
        readiness,
        (request, response) => server.#answerProbe(request, response),
        { connectionLimit: options.readinessLimit },
      );
    }
    return server;
  }

  /** Port on which callers connect. */
  get port(): number {
    return (this.#callers.address() as net.AddressInfo).port;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#activeRequests.size;
  }

  /** State for diagnostics. */
  dump(): Readonly<Record<"unread" | "bodies", unknown>> {
    return {
      unread: this.#unreadReplies.dump(),
      bodies: this.#requestBodies.dump(),
    };
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

  /** Reports the host as not ready; requests that can end before the host stops
   * are still served. */
  drain(): void {
    this.#isDraining = true;
    for (const active of this.#activeRequests) active.handleDrain();
  }

  /** Resolves when no request is in flight and all replies are sent whole, or
   * after a timeout in milliseconds; the remaining requests are then refused. */
  async finish(timeout: number): Promise<void> {
    await this.#waitFor(() => this.#isIdle, timeout);
    if (this.#activeRequests.size === 0) return;
    for (const active of this.#activeRequests) active.abort();
    await this.#waitFor(() => this.#isIdle, REFUSAL_TIMEOUT_MS);
  }

  get #isIdle(): boolean {
    return this.#activeRequests.size === 0 && this.#busy.size === 0;
  }

  #waitFor(holds: () => boolean, timeout: number): Promise<void> {
    return delays.until(this.#options.context.clock, holds, { timeout });
  }

  /** Closes at once all connections with a reply that is not sent whole. */
  closeUnfinishedReplies(): void {
    for (const connection of this.#busy) connection.close();
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    this.closeUnfinishedReplies();
    await httpListener.close(this.#callers);
    if (this.#readiness) await httpListener.close(this.#readiness);
  }

  #serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { context } = this.#options;
    response.on("error", (error) => {
      context.logger.debug({ err: error }, "Connection to a caller failed");
    });
    const connection = this.#connectionOf(request.socket);
    if (connection.isClosing) return this.#drop(request);
    this.#begin(connection, { request, response });
    const active = activeRequests.ActiveRequest.start(context, {
      request,
      response,
      unreadReplies: this.#unreadReplies,
      requestBodies: this.#requestBodies,
      connection,
    });
    this.#activeRequests.add(active);
    context.metrics.gauge("gateway.in_flight", this.#activeRequests.size);
    void active.finished.then(() => {
      this.#activeRequests.delete(active);
    });
  }

  #connectionOf(socket: net.Socket): callerConnections.CallerConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = callerConnections.CallerConnection.create(socket, {
      lingeringCloses: this.#lingeringCloses,
    });
    this.#connections.set(socket, connection);
    // Node emits no event for a response behind another one on its connection.
    socket.once("close", () => this.#busy.delete(connection));
    return connection;
  }

  #begin(
    connection: callerConnections.CallerConnection,
    exchange: callerConnections.Exchange,
  ): void {
    connection.begin(exchange);
    this.#busy.add(connection);
    exchange.response.once("close", () => {
      if (!connection.isBusy) this.#busy.delete(connection);
    });
  }

  /** Ends the requests of a caller that has ended its side of the connection. */
  #endCaller(socket: net.Socket): void {
    const connection = this.#connectionOf(socket);
    if (!connection.isBusy) return;
    connection.closeWhenAnswered();
    for (const active of this.#activeRequests) {
      if (active.socket === socket) active.callerEnded();
    }
  }

  /** Drops a request on a connection that closes after an earlier reply, which
   * its caller has sent before it has read that. */
  #drop(request: http.IncomingMessage): void {
    const { metrics, logger } = this.#options.context;
    request.resume();
    metrics.count("gateway.refused", 1, { reason: "closing" });
    logger.debug({}, "Request dropped; its connection is closing");
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

  /** Rejects a request for a tunnel; without a listener Node closes its connection
   * without a reply. */
  #rejectConnect(socket: net.Socket): void {
    // Node has taken its own listeners off the connection.
    socket.on("error", () => {});
    const connection = this.#connectionOf(socket);
    // One with requests in flight closes once they are answered.
    socket.on("end", () => connection.isBusy || socket.destroy()).resume();
    const { isBusy } = connection;
    this.#rejectInvalid(CONNECT_ERROR, socket);
    if (!isBusy) socket.destroySoon();
  }

  /** Rejects bytes that are not a valid HTTP request; none were forwarded. Behind
   * a request in flight the caller would take the status for its answer, and 408
   * promises that it has not run: the connection is closed once all requests in
   * flight are answered. */
  #rejectInvalid(
    { code = "" }: Pick<NodeJS.ErrnoException, "code">,
    socket: net.Socket,
  ): void {
    const { metrics, logger } = this.#options.context;
    const connection = this.#connectionOf(socket);
    const isInvalid = code.startsWith("HPE_") ||
      code === "ERR_HTTP_REQUEST_TIMEOUT";
    // A head behind a request in flight that does not arrive in time ends it,
    // but not where the connection closes after its reply: bytes that are no
    // request never become a head.
    const isLate = code === "ERR_HTTP_REQUEST_TIMEOUT" && connection.isBusy &&
      !connection.isClosing;
    if (!socket.writable || isLate || !isInvalid) {
      socket.destroy();
      return;
    }
    // A caller that has ended its side in the middle of a request has left it; one
    // whose body is invalid gets no answer to it. Whole ones before it are due.
    if (socket.readableEnded || connection.isReceiving) {
      if (!connection.closeWhenWholeAnswered()) socket.destroy();
      return;
    }
    // Reported again with all further bytes.
    if (connection.isClosing) return;
    metrics.count("gateway.refused", 1, { reason: "bytes" });
    logger.debug(
      { code },
      "Invalid HTTP request from a caller; closing its connection",
    );
    if (connection.isBusy) return connection.closeWhenAnswered();
    const status = CLIENT_ERROR_STATUS[code] ?? "400 Bad Request";
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** Closes a connection at its idle timeout. Timers run before connections are
 * read, so after a pause of this process a request may have arrived in time. */
function closeIfIdle(socket: net.Socket): void {
  const { bytesRead } = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/** What the parser says of a method that it does not know. */
const CONNECT_ERROR = { code: "HPE_INVALID_METHOD" } as const;

const CLIENT_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
