/** Group commit: records that arrive during a write are written together in the
 * next one.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as journals from "./journal.ts";
import type * as states from "./state.ts";

/** Options of a writer. */
export interface WriterOptions {
  readonly journal: journals.Journal;
  readonly clock: runtime.Clock;
  /** Called when the records up to number `write` are durable; the last write
   * took `durationMs`. */
  onSynced(write: number, durationMs: number): void;
  onFailure(cause: unknown): void;
}

/** Writes records to a journal, one write at a time. */
export class Writer {
  readonly #options: WriterOptions;
  #records: states.LogRecord[] = [];
  #last = 0;
  #writes = 0;
  #writeStartedAt?: number;

  constructor(options: WriterOptions) {
    this.#options = options;
  }

  /** Whether a write is in progress. */
  get isBusy(): boolean {
    return this.#writeStartedAt !== undefined;
  }

  /** Number of writes started. */
  get writes(): number {
    return this.#writes;
  }

  /** Duration of the current write so far; 0 without one. */
  get currentWriteMs(): number {
    if (this.#writeStartedAt === undefined) return 0;
    return this.#options.clock.now() - this.#writeStartedAt;
  }

  /** Adds a record for the next `flush`. */
  add(write: number, record: states.LogRecord): void {
    this.#records.push(record);
    this.#last = write;
  }

  /** Writes the added records. If a write is in progress, they are written after
   * it. */
  async flush(): Promise<void> {
    if (this.isBusy) return;
    const { journal, clock, onSynced, onFailure } = this.#options;
    try {
      while (this.#records.length > 0) {
        const records = this.#records;
        const last = this.#last;
        this.#records = [];
        this.#writes++;
        this.#writeStartedAt = clock.now();
        await journal.write(records);
        onSynced(last, this.currentWriteMs);
      }
      this.#writeStartedAt = undefined;
    } catch (cause) {
      onFailure(cause);
    }
  }
}
