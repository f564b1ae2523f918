/** Reading of large bodies in turns: each connection is read once in a turn of the
 * event loop. What is read at a time takes memory until it is collected, and the
 * buffer that the system gives a connection grows with it. Bodies in small chunks
 * cost time, too: one read of them has thousands, so that only as many connections
 * are read in a turn as leave it short for other requests.
 * @module */

/** Chunks that are read in one turn: some ten milliseconds of work. */
const MAX_CHUNKS = 4096;

/** A body that is read in turns. */
export interface Reader {
  /** Chunks that its last turn has brought. */
  readonly turnChunks: number;
  /** Stops reading its connection. */
  pause(): void;
  /** Begins a further turn. */
  resume(): void;
}

/** Dependencies of `ReadTurns`. */
export interface ReadTurnsOptions {
  /** Runs a function after this turn of the event loop. */
  afterTurn(action: () => void): void;
}

/** Bodies that wait for their turn, in their order; changed in place. */
export class ReadTurns {
  readonly #options: ReadTurnsOptions;
  readonly #waiting = new Set<Reader>();
  #isScheduled = false;

  private constructor(options: ReadTurnsOptions) {
    this.#options = options;
  }

  static create(options: ReadTurnsOptions): ReadTurns {
    return new ReadTurns(options);
  }

  /** Reads no more of a body before its next turn. */
  endTurn(reader: Reader): void {
    if (this.#waiting.has(reader)) return;
    reader.pause();
    this.#waiting.add(reader);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.afterTurn(() => {
      this.#isScheduled = false;
      this.#resumeNext();
    });
  }

  #resumeNext(): void {
    let expected = 0;
    for (const reader of this.#waiting) {
      if (expected > 0 && expected + reader.turnChunks > MAX_CHUNKS) {
        return this.#schedule();
      }
      expected += reader.turnChunks;
      this.#waiting.delete(reader);
      reader.resume();
    }
  }
}
