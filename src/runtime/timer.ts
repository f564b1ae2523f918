/** A timer that can be rescheduled, driven by the `wake` effects of a state
 * machine.
 * @module */

import type * as clock from "./clock.ts";

/** Fires once, at the time it was last set to. */
export class Timer {
  readonly #clock: clock.Clock;
  readonly #callback: () => void;
  #cancel: clock.Cancel | undefined;
  #at = Infinity;

  private constructor(source: clock.Clock, callback: () => void) {
    this.#clock = source;
    this.#callback = callback;
  }

  /** Creates a timer that is not set yet. */
  static create(source: clock.Clock, callback: () => void): Timer {
    return new Timer(source, callback);
  }

  /** Sets the timer to `at`, milliseconds of the clock; replaces the previous
   * time. */
  set(at: number): void {
    if (at === this.#at) return;
    this.cancel();
    this.#at = at;
    const delay = Math.ceil(Math.max(0, at - this.#clock.now()));
    this.#cancel = this.#clock.after(delay, () => {
      this.#at = Infinity;
      this.#callback();
    });
  }

  /** Cancels the timer. */
  cancel(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    this.#at = Infinity;
  }
}
