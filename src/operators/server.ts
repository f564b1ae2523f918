/** Serves the operators' API over HTTP, or over HTTPS if the settings give TLS
 * files.
 * @module */

import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import type * as settings from "../schema/settings_types.ts";
import type * as authentication from "./authentication.ts";
import * as problem from "./problem.ts";
import * as routes from "./routes.ts";

/** Options and dependencies of a server. */
export interface Options extends routes.Context {
  listener: settings.Listener;
  operators: authentication.Operators;
}

const DEFAULT_ADDRESS = "127.0.0.1";

/** Time within which a whole request must be received. */
const REQUEST_TIMEOUT_MS = 30_000;

/** A listening server. */
export class Server {
  #server: http.Server;

  private constructor(server: http.Server) {
    this.#server = server;
  }

  /** Starts listening; rejects when the address cannot be bound. */
  static start(options: Options): Promise<Server> {
    const server = createServer(options.listener);
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.on("request", (request, response) => {
      void serve({ request, response }, options);
    });
    const { address = DEFAULT_ADDRESS, port } = options.listener;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, address, () => resolve(new Server(server)));
    });
  }

  /** The bound port, which the system chooses if the settings give port 0. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

function createServer({ tls }: settings.Listener): http.Server {
  if (tls === undefined) return http.createServer();
  const cert = fs.readFileSync(tls.certificate);
  return https.createServer({ cert, key: fs.readFileSync(tls.key) });
}

interface Exchange {
  request: http.IncomingMessage;
  response: http.ServerResponse;
}

async function serve(exchange: Exchange, options: Options): Promise<void> {
  try {
    const answer = await handle(exchange, options);
    if (answer !== undefined) send(exchange.response, answer);
  } catch (error) {
    fail(exchange, toProblem(error, options));
  }
}

async function handle(
  { request, response }: Exchange,
  options: Options,
): Promise<routes.Answer> {
  const operator = options.operators.find(request.headers.authorization);
  if (operator === undefined) {
    options.metrics.count("operator.denied");
    const detail = "send the token of an operator as Authorization: Bearer";
    throw new problem.OperatorsError("unauthorized", detail);
  }
  options.metrics.count("operator.call");
  const url = new URL(request.url ?? "/", "http://host");
  const route = findRoute(url.pathname, request.method ?? "");
  if (route.role === "editor" && operator.role !== "editor") {
    const detail = `${operator.name} may only look`;
    throw new problem.OperatorsError("forbidden", detail);
  }
  return await route.handle({ operator, url, request, response }, options);
}

function findRoute(path: string, method: string): routes.Route {
  if (!Object.hasOwn(routes.routes, path)) {
    const detail = `there is nothing at ${path}`;
    throw new problem.OperatorsError("not-found", detail);
  }
  const methods = routes.routes[path];
  if (Object.hasOwn(methods, method)) return methods[method];
  const allowed = Object.keys(methods).join(", ");
  const detail = `${path} takes ${allowed}`;
  throw new problem.OperatorsError("method-not-allowed", detail);
}

function toProblem(error: unknown, { logger }: Options): problem.Problem {
  if (error instanceof problem.OperatorsError) return error.problem;
  logger.error({ err: error }, "Operator call failed");
  const detail = "the host's log says why";
  return new problem.OperatorsError("internal", detail).problem;
}

function fail({ request, response }: Exchange, body: problem.Problem): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  // The rest of a rejected body is not read, so the connection cannot be reused.
  if (!request.complete) response.setHeader("connection", "close");
  if (body.status === 401) response.setHeader("www-authenticate", "Bearer");
  response.setHeader("content-type", "application/problem+json");
  send(response, { status: body.status, body });
}

function send(
  response: http.ServerResponse,
  { status, body }: NonNullable<routes.Answer>,
): void {
  const text = `${JSON.stringify(body)}\n`;
  if (!response.hasHeader("content-type")) {
    response.setHeader("content-type", "application/json");
  }
  response.setHeader("content-length", Buffer.byteLength(text));
  response.statusCode = status;
  response.end(text);
}
