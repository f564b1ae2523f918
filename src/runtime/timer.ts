/** One timer that a core moves about by its `wake` effects.
 * @module */

import type * as clock from "./clock.ts";

/** Rings once at the time it was last set to. */
export class Timer {
  readonly #clock: clock.Clock;
  readonly #ring: () => void;
  #cancel: clock.Cancel | undefined;
  #at = Infinity;

  private constructor(source: clock.Clock, ring: () => void) {
    this.#clock = source;
    this.#ring = ring;
  }

  /** An alarm that is not set yet. */
  static create(source: clock.Clock, ring: () => void): Timer {
    return new Timer(source, ring);
  }

  /** Sets it to `at`, milliseconds of the clock, in place of any other. */
  set(at: number): void {
    if (at === this.#at) return;
    this.cancel();
    this.#at = at;
    const delay = Math.ceil(Math.max(0, at - this.#clock.now()));
    this.#cancel = this.#clock.after(delay, () => {
      this.#at = Infinity;
      this.#ring();
    });
  }

  /** Keeps it from ringing. */
  cancel(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    this.#at = Infinity;
  }
}
