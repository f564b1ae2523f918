/** Helpers for the HTTP servers of a host.
 * @module */

import * as http from "node:http";
import type * as connectionLimits from "./connection_limit.ts";
import * as errors from "./errors.ts";

/** Address and port to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Handles one request. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/** Options of a server. */
export interface ListenOptions extends http.ServerOptions {
  /** Bounds its connections; absent where only other hosts connect. */
  readonly connectionLimit?: connectionLimits.ConnectionLimit;
}

/** Starts a server; resolves once it accepts connections. */
export async function listen(
  listenAddress: ListenAddress,
  handle: RequestHandler,
  { connectionLimit: limit, ...options }: ListenOptions = {},
): Promise<http.Server> {
  const server = http.createServer(options, (request, response) => {
    const isServed = limit?.begin(request.socket, { request, response }) ??
      true;
    if (isServed) handle(request, response);
    else request.resume();
  });
  if (limit !== undefined) {
    server.on("connection", (socket) => limit.take(socket));
  }
  await new Promise<void>((resolve, reject) => {
    server.once("error", (cause) => {
      const message =
        `Cannot listen on ${listenAddress.address}:${listenAddress.port}`;
      reject(new errors.FleetError(message, { cause }));
    });
    server.listen(listenAddress.port, listenAddress.address, BACKLOG, resolve);
  });
  return server;
}

/** Pending connections that the kernel queues: enough for the burst after a
 * pause of this process. */
const BACKLOG = 511;

/** Stops listening and closes all connections. */
export function close(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
