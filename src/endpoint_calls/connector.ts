/** Connections to endpoints that distinguish a reset from an orderly end.
 *
 * An answer without a length ends with its connection, so a reset must not be
 * mistaken for the end. Two lower layers do so: undici treats a reset of such a
 * connection as its end, and Node reports a reset that arrives with the last
 * bytes as an end (libuv does not read again after a hang-up). Therefore the
 * error code of a reset is replaced before undici sees it, and after an end a
 * line break is written, which the operating system refuses on a connection
 * that was reset. The write is harmless otherwise, since an endpoint that has
 * ended its answer reads nothing more.
 *
 * A system that closes a connection with unread input sends what it has, an end,
 * and a reset on the next bytes that come. The end of an answer to a request with a
 * long body is therefore held back until such a reset would have come: the line break
 * would provoke one behind whole answers, too.
 *
 * The connections of a process that is killed end in order as well, so an end
 * does not count if the endpoint's address refuses connections since. Nor does one
 * that was noticed late, as this process stood still: another process may listen at
 * the address by then.
 * @module */

import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as undici from "undici";
import * as framing from "./framing.ts";
import * as standstill from "../runtime/standstill.ts";
import * as readSlices from "./read_slices.ts";
import * as sendQueues from "./send_queue.ts";
import * as stoppedEndpoint from "./stopped_endpoint.ts";

/** Error code that replaces `ECONNRESET`. */
const RESET_CODE = "ERR_CONNECTION_RESET";
/** What is written behind an end. */
export const PROBE = "\r\n";
/** Milliseconds behind an end in which a reset counts: the endpoint's system sends
 * it a round trip later, or once the process closes what it has shut down. */
const RESET_DELAY_MS = 50;
/** Bytes of a body that endpoints read with its head: such a request leaves nothing
 * unread, and its answer need not wait. */
const SHORT_BODY_BYTES = 4 * 1024;
/** Bytes of a request that an endpoint's system receives at once; Linux begins with
 * a window of this size. */
const RECEIVE_WINDOW_BYTES = 64 * 1024;
/** Milliseconds behind a standstill in which what came meanwhile is still read. */
const BACKLOG_MS = 500;

/** Shared by all connections to endpoints, as they share the event loop. */
const slices = readSlices.ReadSlices.create({
  now: () => performance.now(),
  afterTurn: setImmediate,
});

/** How a connection ended: in order, by a reset, in order before the request was
 * sent whole, in order at an endpoint that refuses connections since, in order
 * without the confirmation of the host that forwards it, or in order at a time that is
 * not known. */
export type ConnectionEnd =
  | "orderly"
  | "reset"
  | "early"
  | "stopped"
  | "unconfirmed"
  | "late";

/** Options of a connector. */
export interface ConnectorOptions {
  /** Timeout of connecting, in milliseconds. */
  readonly timeout: number;
}

/** Shared by all connections of this process, also those that it relays. */
const standstills = standstill.StandstillWatch.start({
  now: () => performance.now(),
  every: (interval, action) => void setInterval(action, interval).unref(),
});

/** What is known about a connection to an endpoint, as far as the end of an answer
 * depends on it. */
interface Connection {
  /** The endpoint's address; absent if the connection had closed before. */
  readonly peer?: stoppedEndpoint.EndpointAddress;
  /** Confirms the end, if another host forwards the connection. */
  readonly confirm?: () => Promise<boolean>;
  /** Bytes of the long body of a request whose answer ends with the connection. */
  uploadBytes?: number;
  /** Whether it has ended before the request was sent whole. */
  isEarly?: boolean;
  /** Check of the endpoint, if the end waits. */
  endpointCheck?: Promise<ConnectionEnd>;
}

/** Checks whether the `end` event being handled is an orderly end; set only while
 * its listeners run. */
let currentCheck: (() => Promise<ConnectionEnd>) | undefined;
const connections = new WeakMap<net.Socket, Connection>();
/** What confirms the ends of connections that are not prepared yet. */
const confirmations = new WeakMap<net.Socket, () => Promise<boolean>>();

/** Creates a connector for an undici dispatcher. */
export function create(
  { timeout }: ConnectorOptions,
): undici.buildConnector.connector {
  const connect = undici.buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (...results) => {
      const [, socket] = results;
      if (socket) prepare(socket);
      callback(...results as Parameters<typeof callback>);
    });
}

/** Prepares an open connection before undici uses it. */
export function prepare(socket: net.Socket): void {
  // Behind an end the system may not know the address any more, as the probe may
  // have been answered by a reset.
  const { remoteAddress: host, remotePort: port } = socket;
  const peer = host === undefined || port === undefined
    ? undefined
    : { host, port };
  connections.set(socket, { peer, confirm: confirmations.get(socket) });
  // Must run before the listeners of undici and of the socket itself.
  socket.prependListener("error", renameReset);
  socket.prependListener("end", probeEnd);
  holdEnd(socket);
  framing.watch(socket);
  slices.watch(socket);
}

/** Sets that an end of a connection, which is prepared later, is orderly only if
 * `confirm` resolves with true. It is called if an answer ends with the
 * connection. */
export function confirmEnd(
  socket: net.Socket,
  confirm: () => Promise<boolean>,
): void {
  confirmations.set(socket, confirm);
}

/** Returns whether the end of a connection that is being noticed now was noticed
 * late, or the time since then included a standstill. */
export function watchEnd(): () => boolean {
  const earliest = performance.now() - BACKLOG_MS;
  return () => standstills.hasEndedSince(earliest);
}

/** Sets that the answer which is being parsed ends with its connection, and the size
 * of its request's body. */
export function expectEnd({ sentBytes }: { readonly sentBytes: number }): void {
  const socket = framing.currentConnection();
  const connection = socket && connections.get(socket);
  if (connection === undefined || sentBytes <= SHORT_BODY_BYTES) return;
  connection.uploadBytes = sentBytes;
}

/** Resolves with whether the other side of a connection has received all of the bytes
 * that were written; true if that is not known. */
export async function isReceived(
  socket: net.Socket,
  { sentBytes }: { readonly sentBytes: number },
): Promise<boolean> {
  if (socket.writableLength > 0) return false;
  if (sentBytes <= RECEIVE_WINDOW_BYTES) return true;
  return (await sendQueues.unacknowledgedBytes(socket) ?? 0) === 0;
}

/** Resolves with how the connection whose `end` event is being handled ended;
 * undefined when no such event is being handled. */
export function currentEndCheck(): Promise<ConnectionEnd> | undefined {
  return currentCheck?.();
}

function renameReset(this: net.Socket, error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") error.code = RESET_CODE;
}

/** How a connection ended, by the error with which undici fails its call;
 * undefined if the error is not about its end. */
export function endOf(error: Error): ConnectionEnd | undefined {
  const { code } = error as NodeJS.ErrnoException;
  if (code === RESET_CODE) return "reset";
  return code === "UND_ERR_SOCKET" ? "orderly" : undefined;
}

/** Resolves with whether a connection whose `end` event is being handled ended
 * in order. */
export function endsInOrder(socket: net.Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(
      PROBE,
      (error) => resolve(error === null || error === undefined),
    );
  });
}

/** Has the end of a connection wait if it is that of an answer to a request with a
 * long body. A listener can't delay an event, and undici destroys the connection in
 * this one. */
function holdEnd(socket: net.Socket): void {
  const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;
  const connection = connections.get(socket)!;
  const end = async (sentBytes: number) => {
    const isSent = socket.writableLength === 0;
    if (isSent) await timers.setTimeout(RESET_DELAY_MS);
    const isWhole = isSent && await isReceived(socket, { sentBytes });
    connection.isEarly = !isWhole;
    if (!socket.destroyed) emit("end");
  };
  socket.emit = (...event: unknown[]) => {
    const { uploadBytes } = connection;
    if (event[0] !== "end" || uploadBytes === undefined) return emit(...event);
    connection.uploadBytes = undefined;
    // Another process may listen at the address once the wait is over.
    connection.endpointCheck = checkEndpoint(connection);
    // Node would end its side of the connection, which then can't be probed.
    socket.allowHalfOpen = true;
    void end(uploadBytes);
    return true;
  };
}

/** Resolves with how a connection that has ended in order just now counts, by what
 * became of its endpoint. */
async function checkEndpoint(
  { confirm, peer }: Connection,
): Promise<ConnectionEnd> {
  const isLate = watchEnd();
  if (confirm && !await confirm()) return "unconfirmed";
  const isStopped = !confirm && peer && await stoppedEndpoint.hasStopped(peer);
  if (isStopped) return "stopped";
  return isLate() ? "late" : "orderly";
}

function probeEnd(this: net.Socket): void {
  const connection = connections.get(this)!;
  const probed = endsInOrder(this);
  const check = async (): Promise<ConnectionEnd> => {
    connection.endpointCheck ??= checkEndpoint(connection);
    const isInOrder = await probed;
    if (connection.isEarly) return "early";
    return isInOrder ? await connection.endpointCheck : "reset";
  };
  currentCheck = check;
  // All listeners of this event run before the next microtask.
  queueMicrotask(() => {
    if (currentCheck === check) currentCheck = undefined;
  });
}
