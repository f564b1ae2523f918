/** Connections to endpoints on which a reset never passes for an end.
 *
 * An answer without a length ends with its connection. undici takes a reset of
 * such a connection for that end, since some systems report one for the other.
 * Here a reset means that the answer was cut off, so undici is not shown its
 * usual code.
 * @module */

import type * as net from "node:net";
import * as undici from "undici";

/** Code that a reset has from here on. */
const RESET = "ERR_CONNECTION_RESET";

/** What connections are made with. */
export interface ConnectorOptions {
  /** Milliseconds in which a connection is made. */
  readonly timeout: number;
}

/** Makes connections for a dispatcher. */
export function create(
  { timeout }: ConnectorOptions,
): undici.buildConnector.connector {
  const connect = undici.buildConnector({ timeout });
  return (options, callback) =>
    connect(options, (...results) => {
      const [, socket] = results;
      // Before undici's own listener, which acts on the code.
      socket?.prependListener("error", renameReset);
      callback(...results as Parameters<typeof callback>);
    });
}

function renameReset(this: net.Socket, error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") error.code = RESET;
}
