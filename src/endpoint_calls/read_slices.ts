/** Bounds how long one turn of the event loop parses what endpoints send.
 *
 * An HTTP parser handles all bytes that it is given, and Node reads a connection up
 * to 32 times in one turn while bytes keep coming. A faulty endpoint that sends
 * small chunks, or a head without an end, makes each byte cost a callback, and its
 * host serves nothing else meanwhile. A connection is therefore read in slices: one
 * in each turn, and further ones while the turn has time left. The others wait in
 * the connection's buffer, which stops the endpoint once it is full.
 * @module */

import type * as net from "node:net";

/** Bytes of a slice. undici parses a slice to its end also after the head in it has
 * become too large, and creates an error for each further header line. */
export const SLICE_BYTES = 4 * 1024;
/** Milliseconds of a turn in which further slices are read, over all connections:
 * about a megabyte of sound answers, and too short to delay other requests. */
const MAX_TURN_MS = 5;

/** A connection as far as it is read. */
export type Connection = Pick<
  net.Socket,
  "destroyed" | "readableLength" | "read" | "emit" | "once"
>;

/** Dependencies of `ReadSlices`. */
export interface ReadSlicesOptions {
  /** Milliseconds of a monotonic clock. */
  now(): number;
  /** Runs a callback in the next turn of the event loop. */
  afterTurn(callback: () => void): void;
}

/** Reads connections in slices; changed in place. */
export class ReadSlices {
  readonly #options: ReadSlicesOptions;
  /** Time of the first slice of this turn; undefined before it. */
  #startedAt?: number;
  /** Connections that have had a slice in this turn. */
  #served = new Set<Connection>();
  /** Connections with bytes left for the next turn, in the order in which they
   * wait. */
  readonly #waiting = new Set<Connection>();

  private constructor(options: ReadSlicesOptions) {
    this.#options = options;
  }

  static create(options: ReadSlicesOptions): ReadSlices {
    return new ReadSlices(options);
  }

  /** Has `read` of a connection return slices, and null while the connection waits
   * for the next turn; `readable` is emitted then. */
  watch(connection: Connection): void {
    const read = connection.read.bind(connection);
    connection.read = (size?: number) =>
      size === undefined ? this.#readSlice(connection, read) : read(size);
    connection.once("close", () => this.#waiting.delete(connection));
  }

  #readSlice(connection: Connection, read: Connection["read"]): unknown {
    if (connection.destroyed) return null;
    // Without bytes, `read` has Node report further ones or the end.
    if (connection.readableLength === 0) return read();
    if (!this.#mayRead(connection)) {
      this.#waiting.add(connection);
      return null;
    }
    this.#served.add(connection);
    this.#waiting.delete(connection);
    return read(Math.min(SLICE_BYTES, connection.readableLength));
  }

  #mayRead(connection: Connection): boolean {
    const now = this.#options.now();
    if (this.#startedAt === undefined) {
      this.#startedAt = now;
      this.#options.afterTurn(() => this.#beginTurn());
    }
    return !this.#served.has(connection) ||
      now - this.#startedAt < MAX_TURN_MS;
  }

  #beginTurn(): void {
    this.#startedAt = undefined;
    this.#served = new Set();
    for (const connection of [...this.#waiting]) connection.emit("readable");
  }
}
