/** Bounds what a connection delivers beside the bytes of answers: extensions of
 * chunks, empty lines or a status line without an end reach no call, so that
 * nothing else counts them.
 * @module */

import type * as net from "node:net";

/** Bytes that a connection may deliver in a row without one that reaches a call:
 * the framing of an answer takes some bytes a chunk, a head at most 16 KB. */
const MAX_FRAMING_BYTES = 1024 * 1024;

/** Error of a connection that is closed for its framing. */
export class FramingError extends Error {
  override readonly name = "FramingError";
}

/** The connection whose bytes are being parsed; set only while the listeners of
 * its `readable` event run. */
let current: net.Socket | undefined;
/** Bytes that a connection had delivered when the last of them reached a call. */
const progress = new WeakMap<net.Socket, number>();

/** Watches a connection; must run before undici listens to it. */
export function watch(socket: net.Socket): void {
  progress.set(socket, socket.bytesRead);
  socket.prependListener("readable", check);
}

/** Records that bytes of the connection that is being parsed have reached a
 * call. */
export function recordProgress(): void {
  if (current !== undefined) progress.set(current, current.bytesRead);
}

/** The connection whose bytes are being parsed; undefined outside of that. */
export function currentConnection(): net.Socket | undefined {
  return current;
}

function check(this: net.Socket): void {
  const framing = this.bytesRead - progress.get(this)!;
  if (framing > MAX_FRAMING_BYTES) {
    this.destroy(new FramingError(`${framing} bytes of no answer`));
    return;
  }
  current = this;
  // All listeners of this event run before the next microtask.
  queueMicrotask(() => {
    if (current === this) current = undefined;
  });
}
