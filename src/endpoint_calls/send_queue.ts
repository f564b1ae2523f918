/** What the system has taken from a connection's writer and the other side has not
 * received yet. Node does not tell it; Linux lists it for all connections.
 * @module */

import * as fs from "node:fs/promises";
import type * as net from "node:net";
import * as os from "node:os";

/** The connections of IPv4, a line each. */
const TABLE = "/proc/self/net/tcp";
const LINE = /^ [0-9A-F]{2} ([0-9A-F]{8}):/;

/** Both addresses of a connection. */
export type Addresses = Pick<
  net.Socket,
  "localAddress" | "localPort" | "remoteAddress" | "remotePort"
>;

/** Resolves with the bytes that the other side of a connection has not
 * acknowledged; undefined if the system does not tell, as others than Linux and for
 * IPv6. */
export async function unacknowledgedBytes(
  { localAddress, localPort, remoteAddress, remotePort }: Addresses,
): Promise<number | undefined> {
  const local = entryOf(localAddress, localPort);
  const remote = entryOf(remoteAddress, remotePort);
  if (local === undefined || remote === undefined) return undefined;
  const table = await readTable();
  const pair = `: ${local} ${remote}`;
  const start = table.indexOf(pair);
  if (start < 0) return undefined;
  const rest = table.slice(start + pair.length, start + pair.length + 32);
  const [, bytes] = LINE.exec(rest) ?? [];
  return bytes === undefined ? undefined : Number.parseInt(bytes, 16);
}

let reading: Promise<string> | undefined;
let nextReading: Promise<string> | undefined;

/** Reads the table once for all callers that wait while it is read: the system gives
 * it a page at a time. It is never older than the call. */
function readTable(): Promise<string> {
  if (reading === undefined) {
    reading = fs.readFile(TABLE, "latin1").catch(() => "").finally(() => {
      reading = undefined;
    });
    return reading;
  }
  nextReading ??= reading.then(() => {
    nextReading = undefined;
    return readTable();
  });
  return nextReading;
}

/** An address as the table has it: the number as the machine stores it. */
function entryOf(address = "", port = 0): string | undefined {
  const parts = address.replace(/^::ffff:/, "").split(".").map(Number);
  if (parts.length !== 4) return undefined;
  const ordered = os.endianness() === "LE" ? parts.reverse() : parts;
  const hexOf = (value: number, length: number) =>
    value.toString(16).toUpperCase().padStart(length, "0");
  const number = ordered.map((part) => hexOf(part, 2)).join("");
  return `${number}:${hexOf(port, 4)}`;
}
