/** Connections to endpoints on which a reset never passes for an end.
 *
 * An answer without a length ends with its connection, so the two must be told
 * apart, and two layers below do not: undici takes a reset of such a connection
 * for its end, and Node reports a reset that comes with the last bytes as an
 * end (libuv does not read again after a hang-up). So a reset is shown to
 * undici under another code, and after an end a line break is written, which
 * the system refuses on a connection that was reset; an endpoint that has
 * ended its answer reads nothing any more.
 * @module */

import type * as net from "node:net";
import * as undici from "undici";

/** Code that a reset has from here on. */
const RESET = "ERR_CONNECTION_RESET";
const PROBE = "\r\n";

/** What connections are made with. */
export interface ConnectorOptions {
  /** Milliseconds in which a connection is made. */
  readonly timeout: number;
}

/** Whether the end that is being handled is an end, not a reset; present only
 * while it is handled. */
let ending: Promise<boolean> | undefined;

/** Makes connections for a dispatcher. */
export function create(
  { timeout }: ConnectorOptions,
): undici.buildConnector.connector {
  const connect = undici.buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (...results) => {
      const [, socket] = results;
      // Before the listeners of undici and of the socket itself.
      socket?.prependListener("error", renameReset);
      socket?.prependListener("end", probeEnd);
      callback(...results as Parameters<typeof callback>);
    });
}

/** Resolves with whether the connection whose end is being handled has ended
 * in order; undefined when no end is being handled. */
export function currentEndCheck(): Promise<boolean> | undefined {
  return ending;
}

function renameReset(this: net.Socket, error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") error.code = RESET;
}

function probeEnd(this: net.Socket): void {
  const probed = new Promise<boolean>((resolve) => {
    this.write(
      PROBE,
      (error) => resolve(error === null || error === undefined),
    );
  });
  ending = probed;
  // All listeners of this end run before the next microtask.
  queueMicrotask(() => {
    if (ending === probed) ending = undefined;
  });
}
