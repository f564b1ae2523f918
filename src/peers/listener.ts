/** Takes connections from the other hosts of the fleet and refuses others.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import * as ws from "ws";
import type * as schema from "../schema/peers_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import * as frames from "./frame.ts";
import * as handshake from "./handshake.ts";

/** Bytes of the largest frame: one message of the largest size, or a batch,
 * with what surrounds it. */
const MOST_FRAME = 5 * 1024 * 1024;
/** Milliseconds without a frame after which a connection is closed: who dialled
 * it probes it at rest more often. */
const SILENCE = 15_000;

/** What a listener needs. */
export interface ListenerOptions {
  address: string;
  /** 0 lets the system choose. */
  port: number;
  logger: telemetry.Logger;
  /** The host in the headers of a request to connect, if it is admitted. */
  admit(headers: handshake.Headers): string | undefined;
  /** Takes the messages of a host. */
  receive(host: string, batch: schema.Batch): void;
}

/** A listening server. */
export interface Listener {
  port: number;
  close(): Promise<void>;
}

/** Listens; resolves once connections are taken. */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const { address, port, admit } = options;
  const server = new ws.WebSocketServer({
    host: address,
    port,
    maxPayload: MOST_FRAME,
    perMessageDeflate: false,
    verifyClient: ({ req }: Upgrade) => admit(req.headers) !== undefined,
  });
  await new Promise<void>((resolve, reject) => {
    server.once("listening", resolve);
    server.once("error", (cause) => {
      const message = `Cannot listen on ${address}:${port}`;
      reject(new errors.PeerError(message, { cause }));
    });
  });
  const heard = new Map<ws.WebSocket, number>();
  server.on("error", (err) => options.logger.warn({ err }, "Listener failed"));
  server.on("connection", (socket, request) => {
    take(socket, { ...options, host: hostOf(request), heard });
  });
  const sweep = setInterval(() => closeSilent(heard), SILENCE);
  return {
    port: (server.address() as net.AddressInfo).port,
    close() {
      clearInterval(sweep);
      for (const socket of server.clients) socket.terminate();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

interface Upgrade {
  req: { headers: handshake.Headers };
}

/** Who has dialled a connection, and when each was heard last. */
interface Dialled extends Pick<ListenerOptions, "logger" | "receive"> {
  readonly host: string;
  readonly heard: Map<ws.WebSocket, number>;
}

/** Takes frames from a connection and acknowledges each. */
function take(
  socket: ws.WebSocket,
  { host, heard, logger, receive }: Dialled,
): void {
  heard.set(socket, performance.now());
  socket.on("message", (data) => {
    heard.set(socket, performance.now());
    try {
      const { id, batch } = frames.decode(`${data}`);
      socket.send(frames.encodeAck(id));
      receive(host, batch);
    } catch (err) {
      logger.warn({ peer: host, err }, "Frame could not be read");
      socket.terminate();
    }
  });
  socket.on("error", (err) => logger.debug({ peer: host, err }, "Lost"));
  socket.on("close", () => heard.delete(socket));
}

function closeSilent(heard: ReadonlyMap<ws.WebSocket, number>): void {
  const now = performance.now();
  for (const [socket, at] of heard) {
    if (now - at > SILENCE) socket.terminate();
  }
}

function hostOf({ headers }: http.IncomingMessage): string {
  return `${headers[handshake.HOST_HEADER]}`;
}
