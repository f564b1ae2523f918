/** Connections to endpoints that have carried an answer. Behind an answer a faulty
 * endpoint may send another one, which then comes where that of the next call is
 * due; the first answer on a connection can only be that of its first call.
 * @module */

import type * as net from "node:net";
import * as framing from "./framing.ts";

const answered = new WeakSet<net.Socket>();

/** Records an answer on the connection that is being parsed; returns whether it is
 * certainly the first one there. */
export function recordAnswer(): boolean {
  const connection = framing.currentConnection();
  if (connection === undefined || answered.has(connection)) return false;
  answered.add(connection);
  return true;
}
