/** Accepts connections from the other hosts of the fleet and refuses others.
 * @module */

import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as ws from "ws";
import type * as schema from "../schema/peers_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as acknowledgements from "./acknowledgements.ts";
import * as errors from "./errors.ts";
import * as frames from "./frame.ts";
import * as handshake from "./handshake.ts";
import * as incarnations from "./incarnation.ts";

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
  /** Incarnation of this process, which responses to upgrade requests state. */
  incarnation?: string;
  logger: telemetry.Logger;
  metrics: telemetry.Metrics;
  /** Returns the host that the headers of an upgrade request authenticate;
   * undefined if it is refused. */
  admit(headers: handshake.Headers): string | undefined;
  /** Processes a batch of messages. */
  receive(sender: Sender, batch: schema.Batch): void;
  /** Handles that a host has received all frames up to one, on the connection
   * from this host to it. */
  acknowledged(sender: Sender, id: number): void;
  /** Serves tunnels; absent on hosts that serve none. */
  tunnels?: Tunnels;
}

/** Serves tunnels of other hosts. */
export interface Tunnels {
  accept(request: TunnelRequest): void;
  /** Resolves with whether the endpoint's connection of a tunnel has ended in
   * order, and the endpoint has not stopped. */
  hasEnded(tunnel: string): Promise<boolean>;
}

/** Header of a request for a tunnel that identifies it, and of its response if its
 * end can be asked for. */
export const TUNNEL_HEADER = "chicoryloft-tunnel";
/** Path, followed by the id of a tunnel, whose status is 204 if the tunnel has
 * ended in order, and 404 otherwise. */
export const TUNNEL_END_PATH = "/tunnel-ends/";

/** The process that sends messages on a connection. */
export interface Sender {
  /** Its host, authenticated. */
  readonly host: string;
  /** Undefined if the process has not stated it. */
  readonly incarnation?: incarnations.Incarnation;
}

/** A host's request to be connected to an address through this host. */
export interface TunnelRequest {
  /** The host that asks, authenticated. */
  readonly from: string;
  /** IP address and port to connect to. */
  readonly endpoint: string;
  /** Id of the tunnel; undefined if the host will not ask how it ended. */
  readonly tunnel?: string;
  readonly socket: stream.Duplex;
}

/** A listening server. */
export interface Listener {
  port: number;
  /** Returns the number of the last frame from a process, to be acknowledged by a
   * frame to it; undefined if no acknowledgement waits. */
  takeAcknowledgement(process: Sender): number | undefined;
  /** Acknowledges the last frame from a host again. */
  repeatAcknowledgement(host: string): void;
  close(): Promise<void>;
}

/** Starts listening; resolves once connections are accepted. */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const { address, port, admit, incarnation } = options;
  const server = http.createServer((request, response) => {
    void statusOf(request, options)
      .catch((err) => {
        options.logger.warn({ err, url: request.url }, "Request failed");
        return 500;
      })
      .then((status) => {
        response.writeHead(status, { connection: "close" }).end();
      });
  });
  const sockets = new ws.WebSocketServer({
    server,
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
    verifyClient: ({ req }: Upgrade) => admit(req.headers) !== undefined,
  });
  const open = new Set<stream.Duplex>();
  server.on("connect", (request, socket) => {
    open.add(socket);
    socket.once("close", () => open.delete(socket));
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
  const accepted = new Map<ws.WebSocket, AcceptedConnection>();
  /** The last connection of each host. */
  const lastBySender = new Map<string, AcceptedConnection>();
  sockets.on("headers", (headers) => {
    if (incarnation === undefined) return;
    headers.push(`${handshake.INCARNATION_HEADER}: ${incarnation}`);
  });
  sockets.on("error", (err) => options.logger.warn({ err }, "Listener failed"));
  sockets.on("connection", (socket, request) => {
    const sender = senderOf(request);
    closeFormer(accepted, sender);
    const connection = acceptedConnection(socket, { request, sender }, options);
    accepted.set(socket, connection);
    lastBySender.set(sender.host, connection);
    socket.on("close", () => {
      accepted.delete(socket);
      connection.acknowledgements.close();
      if (lastBySender.get(sender.host) === connection) {
        lastBySender.delete(sender.host);
      }
    });
    receiveFrames(socket, { ...options, connection });
  });
  const sweep = setInterval(() => closeSilent(accepted), SILENCE_TIMEOUT_MS);
  return {
    port: (server.address() as net.AddressInfo).port,
    takeAcknowledgement({ host, incarnation }) {
      const last = lastBySender.get(host);
      return last?.sender.incarnation === incarnation
        ? last?.acknowledgements.take()
        : undefined;
    },
    repeatAcknowledgement(host) {
      lastBySender.get(host)?.acknowledgements.repeat();
    },
    close() {
      clearInterval(sweep);
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
      for (const socket of open) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
    },
  };
}

/** Status of the response to a plain request. */
async function statusOf(
  { url = "", headers }: http.IncomingMessage,
  { admit, tunnels }: ListenerOptions,
): Promise<number> {
  if (!url.startsWith(TUNNEL_END_PATH)) return 426;
  if (admit(headers) === undefined) return 403;
  const tunnel = url.slice(TUNNEL_END_PATH.length);
  return await tunnels?.hasEnded(tunnel) ? 204 : 404;
}

/** Passes on a request for a tunnel of a host of the fleet. */
function handleConnect(
  { request, socket }: {
    request: http.IncomingMessage;
    socket: stream.Duplex;
  },
  { admit, tunnels, logger }: ListenerOptions,
): void {
  const from = admit(request.headers);
  const endpoint = request.url ?? "";
  if (from !== undefined && tunnels !== undefined) {
    const tunnel = request.headers[TUNNEL_HEADER] as string | undefined;
    return tunnels.accept({ from, endpoint, tunnel, socket });
  }
  logger.info({ from, endpoint }, "Request for a tunnel refused");
  socket.on("error", (err) => logger.debug({ err }, "Connection failed"));
  socket.end("HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n");
}

interface Upgrade {
  req: { headers: handshake.Headers };
}

/** An accepted connection. */
interface AcceptedConnection {
  readonly sender: Sender;
  readonly acknowledgements: acknowledgements.Acknowledgements;
  lastFrameAt: number;
}

function acceptedConnection(
  socket: ws.WebSocket,
  { request, sender }: {
    readonly request: http.IncomingMessage;
    readonly sender: Sender;
  },
  { metrics }: Pick<ListenerOptions, "metrics">,
): AcceptedConnection {
  const isCumulative =
    request.headers[handshake.ACKNOWLEDGEMENT_HEADER] === handshake.CUMULATIVE;
  return {
    sender,
    acknowledgements: acknowledgements.Acknowledgements.create({
      isCumulative,
      send(id) {
        metrics.count("peer.acks_sent");
        socket.send(frames.encodeAck(id));
      },
    }),
    lastFrameAt: performance.now(),
  };
}

/** Receives frames from a connection and acknowledges them. */
function receiveFrames(
  socket: ws.WebSocket,
  { connection, logger, receive, acknowledged }:
    & Pick<ListenerOptions, "logger" | "receive" | "acknowledged">
    & { readonly connection: AcceptedConnection },
): void {
  const { sender } = connection;
  socket.on("message", (data) => {
    // A frame may already have been read when the connection is terminated.
    if (socket.readyState !== ws.WebSocket.OPEN) return;
    connection.lastFrameAt = performance.now();
    try {
      const frame = frames.decode(`${data}`);
      connection.acknowledgements.record(frame.id);
      if (frame.acknowledged !== undefined) {
        acknowledged(sender, frame.acknowledged);
      }
      receive(sender, frame.batch);
    } catch (err) {
      logger.warn(
        { peer: sender.host, err },
        "Frame is invalid; connection terminated",
      );
      socket.terminate();
    }
  });
  socket.on(
    "error",
    (err) => logger.debug({ peer: sender.host, err }, "Connection failed"),
  );
}

type AcceptedConnections = ReadonlyMap<ws.WebSocket, AcceptedConnection>;

function closeSilent(accepted: AcceptedConnections): void {
  const now = performance.now();
  for (const [socket, { lastFrameAt }] of accepted) {
    if (now - lastFrameAt > SILENCE_TIMEOUT_MS) socket.terminate();
  }
}

/** Terminates connections of former incarnations of a host, whose messages may
 * still wait to be read and must not follow those of the present one. */
function closeFormer(
  accepted: AcceptedConnections,
  { host, incarnation }: Sender,
): void {
  if (incarnation === undefined) return;
  for (const [socket, { sender }] of accepted) {
    const isFormer = sender.host === host && sender.incarnation !== incarnation;
    if (isFormer) socket.terminate();
  }
}

function senderOf({ headers }: http.IncomingMessage): Sender {
  return {
    host: `${headers[handshake.HOST_HEADER]}`,
    incarnation: incarnations.decode(headers[handshake.INCARNATION_HEADER]),
  };
}
