/** HTTP server for callers.
 * @module */

import * as fs from "node:fs/promises";
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as callerConnections from "../gateway/caller_connection.ts";
import type * as catalogue from "../request/catalogue.ts";
import * as endpoints from "./endpoints.ts";
import * as httpReply from "./http_reply.ts";
import type * as intake from "../request/intake.ts";
import * as problem from "./problem.ts";
import * as requests from "./requests.ts";
import type * as request from "../request/mod.ts";

/** Options of a server. */
export interface Options extends request.PathOptions {
  catalogue: catalogue.Catalogue;
  intake: intake.Intake;
  /** Called when a caller disconnects before its answer is complete. */
  abandon(id: string): void;
}

/** HTTP request and response that a route handles. */
export interface Exchange {
  incoming: http.IncomingMessage;
  response: http.ServerResponse;
  /** Connection of the caller. */
  connection: callerConnections.CallerConnection;
  /** Decoded path segments after those of the route. */
  names: readonly string[];
  /** Whether the host is draining. */
  draining: () => boolean;
}

type Route = (options: Options, exchange: Exchange) => Promise<void>;

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
/** Time for which connections in use stay open after the port is closed. */
const CLOSE_TIMEOUT_MS = 1000;

/** Routes by the first two segments of the path; names follow after these. */
const routes: Readonly<Record<string, Route>> = {
  "/health": health,
  "/v1/pipelines": requests.runPipeline,
  "/v1/services": requests.callService,
  "/v1/endpoints": endpoints.notice,
};

/** HTTP server for callers. */
export class Server {
  readonly #options: Options;
  #server: http.Server | undefined;
  #draining = false;
  /** Responses that are not closed. */
  readonly #open = new Set<http.ServerResponse>();
  #idleWaiters: (() => void)[] = [];
  readonly #connections = new WeakMap<
    net.Socket,
    callerConnections.CallerConnection
  >();

  /** TCP connections by their callers' addresses: a response of TLS has another
   * socket, which can't be reset. */
  readonly #tcp = new Map<string, net.Socket>();

  private constructor(options: Options) {
    this.#options = options;
  }

  static create(options: Options): Server {
    return new Server(options);
  }

  /** Number of requests whose responses are not closed. */
  get open(): number {
    return this.#open.size;
  }

  /** Port of the listener; 0 before `start`. */
  get port(): number {
    const address = this.#server?.address() as net.AddressInfo | null;
    return address?.port ?? 0;
  }

  async start(): Promise<void> {
    const { tls, address = "127.0.0.1", port } =
      this.#options.settings.listen.callers;
    const server = tls === undefined
      ? http.createServer()
      : https.createServer({
        cert: await fs.readFile(tls.certificate),
        key: await fs.readFile(tls.key),
      });
    this.#server = server;
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.on("connection", (socket) => this.#recordTcp(socket));
    server.on("request", (...pair) => this.#handle(...pair));
    server.on("clientError", (_error, socket) => this.#refuseMalformed(socket));
    server.on("connect", (_, socket) => this.#refuseConnect(socket));
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, address, () => {
        server.off("error", reject);
        resolve();
      });
    });
  }

  /** Fails the health check from now on; open requests continue. */
  drain(): void {
    this.#draining = true;
  }

  /** Resolves once no request is open. */
  idle(): Promise<void> {
    if (this.#open.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleWaiters.push(resolve));
  }

  /** Closes the port and all connections. */
  async close(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    const { clock } = this.#options;
    // `close` ends idle connections; a request that has just arrived on another
    // one may complete within the timeout.
    const cancel = clock.after(CLOSE_TIMEOUT_MS, () => {
      for (const response of this.#open) this.#abort(response);
      server.closeAllConnections();
    });
    // Node takes a connection for idle while the rest of its last reply is sent,
    // and closes it in order.
    for (const response of this.#open) {
      if (response.writableEnded) this.#abort(response);
    }
    await new Promise<void>((resolve) => server.close(() => resolve()));
    cancel();
  }

  #handle(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const connection = this.#connectionOf(incoming.socket);
    if (connection.isClosing) return this.#drop(incoming);
    connection.begin({ request: incoming, response });
    this.#open.add(response);
    response.once("close", () => this.#requestEnded(response));
    this.#route({ incoming, response, connection }).catch((error) => {
      this.#refuse(response, error);
    });
  }

  #recordTcp(socket: net.Socket): void {
    const address = addressOf(socket);
    this.#tcp.set(address, socket);
    socket.once("close", () => this.#tcp.delete(address));
  }

  #abort(response: http.ServerResponse): void {
    httpReply.abort(response, this.#tcp.get(addressOf(response.req.socket)));
  }

  #connectionOf(socket: net.Socket): callerConnections.CallerConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = callerConnections.CallerConnection.create(socket);
    this.#connections.set(socket, connection);
    socket.once("close", () => this.#closeWaiting(socket));
    return connection;
  }

  /** Closes the responses behind another one on a connection that has closed:
   * Node closes only the one whose turn it is. */
  #closeWaiting(socket: net.Socket): void {
    for (const response of this.#open) {
      if (response.req.socket !== socket || response.socket !== null) continue;
      response.destroy();
      response.emit("close");
    }
  }

  /** Drops a request on a connection that closes after an earlier reply, which
   * its caller has sent before it has read that. */
  #drop(incoming: http.IncomingMessage): void {
    const { metrics, log } = this.#options;
    incoming.resume();
    metrics.count("request.dropped");
    log.info({}, "request dropped; its connection is closing");
  }

  async #route(
    exchange: Pick<Exchange, "incoming" | "response" | "connection">,
  ): Promise<void> {
    const { incoming } = exchange;
    const segments = pathSegments(incoming.url ?? "/");
    const route = routes[`/${segments.slice(0, 2).join("/")}`];
    if (route === undefined) {
      throw new problem.CallerError("bad-request", "There is no such path");
    }
    const names = segments.slice(2);
    const draining = () => this.#draining;
    await route(this.#options, { ...exchange, names, draining });
  }

  #refuse(response: http.ServerResponse, error: unknown): void {
    const { metrics, log } = this.#options;
    if (!(error instanceof problem.CallerError)) {
      log.warn(
        { error },
        "request failed with an unexpected error; closing its connection",
      );
      response.destroy();
      return;
    }
    const { name } = error.problem;
    if (name === "unauthorized") metrics.count("request.unauthorized");
    else metrics.count("request.bad", 1, { problem: name });
    httpReply.sendProblem(response, problem.documentOf(error.problem));
  }

  /** Refuses a request for a tunnel; without a listener Node closes its connection
   * at once, in the middle of replies before it. */
  #refuseConnect(socket: stream.Duplex): void {
    // Node has taken its own listeners off the connection.
    socket.on("error", () => {}).resume();
    this.#refuseMalformed(socket);
  }

  /** Refuses bytes that are no request, once all requests before them are
   * answered: their callers would take the refusal for an answer. */
  #refuseMalformed(socket: net.Socket | unknown): void {
    const open = socket as net.Socket;
    const connection = this.#connectionOf(open);
    // Reported again with all further bytes.
    if (connection.isClosing) return;
    this.#options.metrics.count("request.bad", 1, { problem: "bad-request" });
    if (!open.writable) return;
    if (connection.isReceiving) {
      if (connection.closeWhenWholeAnswered()) return;
    } else if (connection.isBusy) {
      return connection.closeWhenAnswered();
    }
    const error = new problem.CallerError("bad-request", "This is not HTTP");
    const document = problem.documentOf(error.problem);
    const body = JSON.stringify(document);
    open.end(
      "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n" +
        "Content-Type: application/problem+json\r\n" +
        `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }

  #requestEnded(response: http.ServerResponse): void {
    this.#open.delete(response);
    if (this.#open.size > 0) return;
    for (const resolve of this.#idleWaiters.splice(0)) resolve();
  }
}

function addressOf({ remoteAddress, remotePort }: net.Socket): string {
  return `${remoteAddress} ${remotePort}`;
}

function pathSegments(url: string): string[] {
  const [path] = url.split("?", 1);
  try {
    return path.split("/").slice(1).map(decodeURIComponent);
  } catch {
    throw new problem.CallerError("bad-request", "The path is malformed");
  }
}

function health(
  _options: Options,
  { incoming, response, draining }: Exchange,
): Promise<void> {
  incoming.resume();
  const headers = { "content-type": "text/plain" };
  const [status, body] = draining() ? [503, "draining"] : [200, "ready"];
  httpReply.send(response, {
    status: status as number,
    headers,
    body: `${body}`,
  });
  return Promise.resolve();
}
