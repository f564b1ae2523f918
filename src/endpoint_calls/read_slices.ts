/** Bounds how long one turn of the event loop parses what endpoints send.
 *
 * An HTTP parser handles all bytes that it is given, and Node reads a connection up
 * to 32 times in one turn while bytes keep coming. A faulty endpoint that sends
 * small chunks, or a head without an end, makes each byte cost a callback, and its
 * host serves nothing else meanwhile. A connection is therefore read in slices: at
 * least one in each turn, and further ones while it has taken little time or the
 * turn has time left. The others wait in the connection's buffer, which stops the
 * endpoint once it is full.
 * @module */

import type * as net from "node:net";

/** Bytes of a slice. undici parses a slice to its end also after the head in it has
 * become too large, and creates an error for each further header line. */
const SLICE_BYTES = 4 * 1024;
/** Milliseconds of a turn in which further slices are read, over all connections:
 * about a megabyte of sound answers, and too short to delay other requests. */
const MAX_TURN_MS = 5;
/** Milliseconds of a turn that the slices of one connection may take in any case:
 * sound answers do not wait for the bytes of others. */
const MAX_CONNECTION_MS = 1;

/** A connection as far as it is read. */
export type Connection = Pick<
  net.Socket,
  "destroyed" | "readableLength" | "read" | "emit" | "once" | "destroy"
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
  /** Milliseconds that connections which have had a slice in this turn took. */
  #spent = new Map<Connection, number>();
  /** Connection that had the last slice, and when. */
  #last?: { readonly connection: Connection; readonly at: number };
  /** Connection that is read to the end of its buffer. */
  #unbounded?: Connection;
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
    const destroy = connection.destroy.bind(connection);
    connection.destroy = (error?: Error) => {
      if (isSystemError(error)) this.#readAll(connection);
      return destroy(error);
    };
    connection.once("close", () => this.#waiting.delete(connection));
  }

  /** Reads what waits in the buffer of a connection that has broken: it may be the
   * rest of a whole answer. */
  #readAll(connection: Connection): void {
    if (!this.#waiting.delete(connection)) return;
    this.#unbounded = connection;
    try {
      connection.emit("readable");
    } finally {
      this.#unbounded = undefined;
    }
  }

  #readSlice(connection: Connection, read: Connection["read"]): unknown {
    if (connection.destroyed) return null;
    // Without bytes, `read` has Node report further ones or the end.
    if (connection.readableLength === 0 || connection === this.#unbounded) {
      return read();
    }
    const now = this.#options.now();
    this.#recordSpent(now);
    if (!this.#mayRead(connection, now)) {
      this.#waiting.add(connection);
      return null;
    }
    this.#last = { connection, at: now };
    this.#waiting.delete(connection);
    return read(Math.min(SLICE_BYTES, connection.readableLength));
  }

  /** Counts the time since the last slice for the connection that had it. */
  #recordSpent(now: number): void {
    if (this.#last === undefined) return;
    const { connection, at } = this.#last;
    this.#last = undefined;
    const spent = this.#spent.get(connection) ?? 0;
    this.#spent.set(connection, spent + now - at);
  }

  #mayRead(connection: Connection, now: number): boolean {
    if (this.#startedAt === undefined) {
      this.#startedAt = now;
      this.#options.afterTurn(() => this.#beginTurn());
    }
    const spent = this.#spent.get(connection) ?? 0;
    return spent < MAX_CONNECTION_MS || now - this.#startedAt < MAX_TURN_MS;
  }

  #beginTurn(): void {
    this.#startedAt = undefined;
    this.#spent = new Map();
    this.#last = undefined;
    for (const connection of [...this.#waiting]) connection.emit("readable");
  }
}

/** Whether a connection has broken; otherwise this process closes it. */
function isSystemError(error?: NodeJS.ErrnoException): boolean {
  return error?.syscall !== undefined;
}
