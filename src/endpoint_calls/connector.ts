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
 * The connections of a process that is killed end in order as well, so an end
 * does not count if the endpoint's address refuses connections since. Nor does one
 * that was noticed late, as this process stood still: another process may listen at
 * the address by then.
 * @module */

import type * as net from "node:net";
import * as undici from "undici";
import * as framing from "./framing.ts";
import * as standstill from "../runtime/standstill.ts";
import * as readSlices from "./read_slices.ts";
import * as stoppedEndpoint from "./stopped_endpoint.ts";

/** Error code that replaces `ECONNRESET`. */
const RESET_CODE = "ERR_CONNECTION_RESET";
const PROBE = "\r\n";
/** Milliseconds behind a standstill in which what came meanwhile is still read. */
const BACKLOG_MS = 500;

/** Shared by all connections to endpoints, as they share the event loop. */
const slices = readSlices.ReadSlices.create({
  now: () => performance.now(),
  afterTurn: setImmediate,
});

/** How a connection ended: in order, by a reset, in order at an endpoint that
 * refuses connections since, in order without the confirmation of the host that
 * forwards it, or in order at a time that is not known. */
export type ConnectionEnd =
  | "orderly"
  | "reset"
  | "stopped"
  | "unconfirmed"
  | "late";

/** Options of a connector. */
export interface ConnectorOptions {
  /** Timeout of connecting, in milliseconds. */
  readonly timeout: number;
}

/** Shared by all connections of this process. */
const standstills = standstill.StandstillWatch.start({
  now: () => performance.now(),
  every: (interval, action) => void setInterval(action, interval).unref(),
});

/** Checks whether the `end` event being handled is an orderly end; set only while
 * its listeners run. */
let currentCheck: (() => Promise<ConnectionEnd>) | undefined;
/** Addresses of endpoints by the connections to them. */
const peers = new WeakMap<net.Socket, stoppedEndpoint.EndpointAddress>();
/** What confirms the ends of connections that others forward. */
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
  if (host !== undefined && port !== undefined) {
    peers.set(socket, { host, port });
  }
  // Must run before the listeners of undici and of the socket itself.
  socket.prependListener("error", renameReset);
  socket.prependListener("end", probeEnd);
  framing.watch(socket);
  slices.watch(socket);
}

/** Sets that an end of a connection is orderly only if `confirm` resolves with
 * true. It is called if an answer ends with the connection. */
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

function probeEnd(this: net.Socket): void {
  const probed = endsInOrder(this);
  const confirm = confirmations.get(this);
  const peer = peers.get(this);
  const isLate = watchEnd();
  const check = async (): Promise<ConnectionEnd> => {
    if (!await probed) return "reset";
    if (confirm && !await confirm()) return "unconfirmed";
    const isStopped = !confirm && peer &&
      await stoppedEndpoint.hasStopped(peer);
    if (isStopped) return "stopped";
    return isLate() ? "late" : "orderly";
  };
  currentCheck = check;
  // All listeners of this event run before the next microtask.
  queueMicrotask(() => {
    if (currentCheck === check) currentCheck = undefined;
  });
}
