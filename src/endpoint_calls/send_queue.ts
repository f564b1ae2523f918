/** What the system has taken from a connection's writer and the other side has not
 * received yet. Node does not tell it; Linux lists it for all connections.
 * @module */

import * as fs from "node:fs";
import type * as net from "node:net";
import * as os from "node:os";
import * as timers from "node:timers/promises";

/** The connections of IPv4, a line each. */
const TABLE = "/proc/self/net/tcp";
/** Bytes that are read at a time, more than the system gives. */
const READ_BYTES = 64 * 1024;
/** Milliseconds of a turn in which the table is read: it has thousands of lines on a
 * busy host. */
const SLICE_MS = 2;
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

/** Reads the table once for all callers that wait while it is read. It is never older
 * than the call. */
function readTable(): Promise<string> {
  if (reading === undefined) {
    reading = readInSlices().catch(() => "").finally(() => {
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

/** Reads the table in some turns of the event loop. The system makes it up as it is
 * read, a page at a time, so that a read takes no longer than its work; threads of
 * Node's pool would be waited for with each page. */
async function readInSlices(): Promise<string> {
  const file = fs.openSync(TABLE, "r");
  try {
    const parts: string[] = [];
    const buffer = Buffer.allocUnsafe(READ_BYTES);
    let end = performance.now() + SLICE_MS;
    for (let bytes; (bytes = fs.readSync(file, buffer)) > 0;) {
      parts.push(buffer.toString("latin1", 0, bytes));
      if (performance.now() < end) continue;
      await timers.setImmediate();
      end = performance.now() + SLICE_MS;
    }
    return parts.join("");
  } finally {
    fs.closeSync(file);
  }
}

/** An address of IPv4 and a port as the system's table has them, the number as the
 * machine stores it; undefined for another address. */
export function entryOf(address = "", port = 0): string | undefined {
  const parts = address.replace(/^::ffff:/, "").split(".").map(Number);
  if (parts.length !== 4) return undefined;
  const ordered = os.endianness() === "LE" ? parts.reverse() : parts;
  const hexOf = (value: number, length: number) =>
    value.toString(16).toUpperCase().padStart(length, "0");
  const number = ordered.map((part) => hexOf(part, 2)).join("");
  return `${number}:${hexOf(port, 4)}`;
}
