/** Request coalescing: questions that come while one is under way share the
 * answer of the next, and rounds keep a distance, so that their number does
 * not grow with that of who asks.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** What a coalescer is made from. */
export interface CoalescerOptions<T> {
  readonly clock: runtime.Clock;
  /** Least milliseconds from the begin of one round to that of the next. */
  readonly minInterval: number;
  /** One round. */
  fetch(): Promise<T>;
}

/** Asks in rounds, one after the other. */
export class Coalescer<T> {
  readonly #options: CoalescerOptions<T>;
  #next?: Promise<T>;
  #begun = -Infinity;

  private constructor(options: CoalescerOptions<T>) {
    this.#options = options;
  }

  static create<T>(options: CoalescerOptions<T>): Coalescer<T> {
    return new Coalescer(options);
  }

  /** The answer of a round that begins after this call. */
  join(): Promise<T> {
    this.#next ??= this.#begin();
    return this.#next;
  }

  async #begin(): Promise<T> {
    const { clock, minInterval: distance, fetch: ask } = this.#options;
    const wait = Math.max(0, this.#begun + distance - clock.now());
    await new Promise<void>((resolve) =>
      void clock.after(wait, () => resolve())
    );
    this.#next = undefined;
    this.#begun = clock.now();
    return ask();
  }
}
