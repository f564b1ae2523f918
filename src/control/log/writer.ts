/** Group commit: records that come while a write runs go out together in the
 * next one.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as journals from "./journal.ts";
import type * as states from "./state.ts";

/** What a writer needs. */
export interface WriterOptions {
  readonly journal: journals.Journal;
  readonly clock: runtime.Clock;
  /** All records up to that of number `write` are durable. */
  onSynced(write: number): void;
  onFailure(cause: unknown): void;
}

/** Writes records to a journal, one write at a time. */
export class Writer {
  readonly #options: WriterOptions;
  #records: states.LogRecord[] = [];
  #last = 0;
  #writes = 0;
  #since?: number;

  constructor(options: WriterOptions) {
    this.#options = options;
  }

  /** Whether a write runs. */
  get isBusy(): boolean {
    return this.#since !== undefined;
  }

  /** Writes begun so far. */
  get writes(): number {
    return this.#writes;
  }

  /** Milliseconds that the present write has taken. */
  get currentWriteMs(): number {
    if (this.#since === undefined) return 0;
    return this.#options.clock.now() - this.#since;
  }

  /** Adds a record; `flush` writes it. */
  add(write: number, record: states.LogRecord): void {
    this.#records.push(record);
    this.#last = write;
  }

  /** Writes what was added, unless a write runs, which does it at its end. */
  async flush(): Promise<void> {
    if (this.isBusy) return;
    const { journal, clock, onSynced, onFailure } = this.#options;
    try {
      while (this.#records.length > 0) {
        const records = this.#records;
        const last = this.#last;
        this.#records = [];
        this.#writes++;
        this.#since = clock.now();
        await journal.write(records);
        onSynced(last);
      }
      this.#since = undefined;
    } catch (cause) {
      onFailure(cause);
    }
  }
}
