/** HTTP servers of a host: they listen, and end with all their connections.
 * @module */

import * as http from "node:http";
import * as errors from "./errors.ts";

/** Where a server listens. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Handles one request. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/** Listens; resolves once connections are taken. */
export async function listen(
  place: ListenAddress,
  handle: RequestHandler,
  options: http.ServerOptions = {},
): Promise<http.Server> {
  const server = http.createServer(options, handle);
  await new Promise<void>((resolve, reject) => {
    server.once("error", (cause) => {
      const message = `Cannot listen on ${place.address}:${place.port}`;
      reject(new errors.FleetError(message, { cause }));
    });
    server.listen(place.port, place.address, BACKLOG, resolve);
  });
  return server;
}

/** Connections that may wait to be taken: as many as a burst after a pause of
 * this process brings. */
const BACKLOG = 511;

/** Reads a whole body. Rejects with `FleetError` past `most` bytes, or when
 * the connection breaks. */
export async function readBody(
  request: http.IncomingMessage,
  most: number,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let length = 0;
  try {
    for await (const part of request) {
      length += part.length;
      if (length > most) throw new errors.FleetError("The body is too large");
      parts.push(part);
    }
  } catch (cause) {
    if (cause instanceof errors.FleetError) throw cause;
    throw new errors.FleetError("The body did not arrive", { cause });
  }
  return Buffer.concat(parts);
}

/** Stops listening and closes all connections. */
export function close(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
