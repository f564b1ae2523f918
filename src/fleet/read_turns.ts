/** Reading of large bodies in turns: each connection is read once in a turn of the
 * event loop. What is read at a time takes memory until it is collected, other
 * requests wait meanwhile, and the buffer that the system gives a connection grows
 * with it.
 * @module */

import type * as net from "node:net";

/** A connection whose reading is paused and resumed. */
export type Connection = Pick<net.Socket, "pause" | "resume">;

/** Dependencies of `ReadTurns`. */
export interface ReadTurnsOptions {
  /** Runs a function after this turn of the event loop. */
  afterTurn(action: () => void): void;
}

/** Connections that wait for their turn; changed in place. */
export class ReadTurns {
  readonly #options: ReadTurnsOptions;
  readonly #waiting = new Set<Connection>();

  private constructor(options: ReadTurnsOptions) {
    this.#options = options;
  }

  static create(options: ReadTurnsOptions): ReadTurns {
    return new ReadTurns(options);
  }

  /** Reads no more of a connection before its next turn. */
  endTurn(connection: Connection): void {
    if (this.#waiting.has(connection)) return;
    connection.pause();
    this.#waiting.add(connection);
    if (this.#waiting.size > 1) return;
    this.#options.afterTurn(() => this.#resumeAll());
  }

  #resumeAll(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const connection of waiting) connection.resume();
  }
}
