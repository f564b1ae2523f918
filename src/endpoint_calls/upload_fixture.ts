/** Endpoints for tests that answer an upload before or after they have read it.
 * @module */

import * as net from "node:net";
import type * as ava from "ava";

/** Ends the connection of an answer. */
export type End = (socket: net.Socket, server: net.Server) => unknown;

/** How an endpoint answers. */
export interface EndpointOptions {
  readonly answer: string;
  readonly end: End;
  /** Whether it reads the whole request first, and otherwise only a part. */
  readonly readsAll?: boolean;
}

/** Starts an endpoint on loopback; resolves with its address and port. */
export async function startEndpoint(
  t: ava.ExecutionContext,
  { answer, end, readsAll = false }: EndpointOptions,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    // As endpoints that are not busy end connections without a request.
    socket.on("end", () => socket.end());
    let left: number | undefined;
    socket.on("data", (part) => {
      left = (left ?? lengthOf(part)) - part.length;
      if (readsAll && left > 0) return;
      if (!readsAll) socket.pause();
      socket.write(answer, () => void end(socket, server));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Bytes of a request, by its first part. */
function lengthOf(part: Buffer): number {
  const text = part.toString("latin1");
  const [, body = 0] = /content-length: (\d+)/i.exec(text) ?? [];
  return text.indexOf("\r\n\r\n") + 4 + Number(body);
}
