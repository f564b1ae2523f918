/** Accepts connections from the other hosts of the fleet and refuses others.
 * @module */

import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as ws from "ws";
import type * as schema from "../schema/peers_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import * as frames from "./frame.ts";
import * as handshake from "./handshake.ts";

/** Maximum size of a frame: a message of the largest size, or a batch, and the
 * enclosing JSON. */
const MAX_FRAME_BYTES = 5 * 1024 * 1024;
/** Time without a frame after which a connection is closed; the dialling host
 * probes an idle connection more often. */
const SILENCE_TIMEOUT_MS = 15_000;

/** Options of a listener. */
export interface ListenerOptions {
  address: string;
  /** 0 lets the operating system choose. */
  port: number;
  logger: telemetry.Logger;
  /** Returns the host that the headers of an upgrade request authenticate;
   * undefined if it is refused. */
  admit(headers: handshake.Headers): string | undefined;
  /** Processes a batch of messages from a host. */
  receive(host: string, batch: schema.Batch): void;
  /** Serves a tunnel; absent on hosts that serve none. */
  onTunnel?(request: TunnelRequest): void;
}

/** A host's request to be connected to an address through this host. */
export interface TunnelRequest {
  /** The host that asks, authenticated. */
  readonly from: string;
  /** IP address and port to connect to. */
  readonly endpoint: string;
  readonly socket: stream.Duplex;
}

/** A listening server. */
export interface Listener {
  port: number;
  close(): Promise<void>;
}

/** Starts listening; resolves once connections are accepted. */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const { address, port, admit } = options;
  const server = http.createServer((_request, response) => {
    response.writeHead(426, { connection: "close" }).end();
  });
  const sockets = new ws.WebSocketServer({
    server,
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
    verifyClient: ({ req }: Upgrade) => admit(req.headers) !== undefined,
  });
  const tunnels = new Set<stream.Duplex>();
  server.on("connect", (request, socket) => {
    tunnels.add(socket);
    socket.once("close", () => tunnels.delete(socket));
    handleConnect({ request, socket }, options);
  });
  await new Promise<void>((resolve, reject) => {
    sockets.once("listening", resolve);
    sockets.once("error", (cause) => {
      const message = `Cannot listen on ${address}:${port}`;
      reject(new errors.PeerError(message, { cause }));
    });
    server.listen(port, address);
  });
  const lastFrameAt = new Map<ws.WebSocket, number>();
  sockets.on("error", (err) => options.logger.warn({ err }, "Listener failed"));
  sockets.on("connection", (socket, request) => {
    receiveFrames(socket, {
      ...options,
      host: hostOf(request),
      lastFrameAt,
    });
  });
  const sweep = setInterval(() => closeSilent(lastFrameAt), SILENCE_TIMEOUT_MS);
  return {
    port: (server.address() as net.AddressInfo).port,
    close() {
      clearInterval(sweep);
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
      for (const socket of tunnels) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
    },
  };
}

/** Passes on a request for a tunnel of a host of the fleet. */
function handleConnect(
  { request, socket }: {
    request: http.IncomingMessage;
    socket: stream.Duplex;
  },
  { admit, onTunnel, logger }: ListenerOptions,
): void {
  const from = admit(request.headers);
  const endpoint = request.url ?? "";
  if (from !== undefined && onTunnel !== undefined) {
    return onTunnel({ from, endpoint, socket });
  }
  logger.info({ from, endpoint }, "Request for a tunnel refused");
  socket.on("error", (err) => logger.debug({ err }, "Connection failed"));
  socket.end("HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n");
}

interface Upgrade {
  req: { headers: handshake.Headers };
}

/** An accepted connection; `lastFrameAt` is shared by all connections. */
interface AcceptedConnection
  extends Pick<ListenerOptions, "logger" | "receive"> {
  readonly host: string;
  readonly lastFrameAt: Map<ws.WebSocket, number>;
}

/** Receives frames from a connection and acknowledges each. */
function receiveFrames(
  socket: ws.WebSocket,
  { host, lastFrameAt, logger, receive }: AcceptedConnection,
): void {
  lastFrameAt.set(socket, performance.now());
  socket.on("message", (data) => {
    lastFrameAt.set(socket, performance.now());
    try {
      const { id, batch } = frames.decode(`${data}`);
      socket.send(frames.encodeAck(id));
      receive(host, batch);
    } catch (err) {
      logger.warn(
        { peer: host, err },
        "Frame is invalid; connection terminated",
      );
      socket.terminate();
    }
  });
  socket.on(
    "error",
    (err) => logger.debug({ peer: host, err }, "Connection failed"),
  );
  socket.on("close", () => lastFrameAt.delete(socket));
}

function closeSilent(lastFrameAt: ReadonlyMap<ws.WebSocket, number>): void {
  const now = performance.now();
  for (const [socket, at] of lastFrameAt) {
    if (now - at > SILENCE_TIMEOUT_MS) socket.terminate();
  }
}

function hostOf({ headers }: http.IncomingMessage): string {
  return `${headers[handshake.HOST_HEADER]}`;
}
