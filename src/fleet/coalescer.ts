/** Request coalescing: all calls that arrive while a fetch runs share the
 * result of the next one, and fetches are spaced by a minimum interval, so that
 * their rate does not grow with the number of callers.
 * @module */

import * as delays from "../runtime/delay.ts";
import type * as runtime from "../runtime/mod.ts";

/** Parameters of a coalescer. */
export interface CoalescerOptions<T> {
  readonly clock: runtime.Clock;
  /** Least milliseconds from the start of one fetch to the start of the
   * next. */
  readonly minInterval: number;
  /** Fetches a result. */
  fetch(): Promise<T>;
}

/** Runs one fetch for all concurrent callers. */
export class Coalescer<T> {
  readonly #options: CoalescerOptions<T>;
  #pending?: Promise<T>;
  #startedAt = -Infinity;

  private constructor(options: CoalescerOptions<T>) {
    this.#options = options;
  }

  static create<T>(options: CoalescerOptions<T>): Coalescer<T> {
    return new Coalescer(options);
  }

  /** Result of a fetch that starts after this call. */
  join(): Promise<T> {
    this.#pending ??= this.#run();
    return this.#pending;
  }

  async #run(): Promise<T> {
    const { clock, minInterval, fetch } = this.#options;
    const wait = Math.max(0, this.#startedAt + minInterval - clock.now());
    await delays.sleep(clock, wait);
    this.#pending = undefined;
    this.#startedAt = clock.now();
    return fetch();
  }
}
