/** Notices that time has passed which the monotonic clock did not count, as
 * when the system was suspended: the wall clock has then gone ahead of it. A
 * wall clock that is set forward looks the same, and does no harm.
 * @module */

import type * as runtime from "../../runtime/mod.ts";

/** Milliseconds by which the clocks may part between two readings. */
const MARGIN = 30;

/** Compares the two clocks from one reading to the next. */
export class PauseDetector {
  readonly #clock: runtime.Clock;
  #ahead: number;

  constructor(clock: runtime.Clock) {
    this.#clock = clock;
    this.#ahead = clock.wall() - clock.now();
  }

  /** Whether uncounted time has passed since the last call. */
  hasPaused(): boolean {
    const ahead = this.#clock.wall() - this.#clock.now();
    const paused = ahead - this.#ahead > MARGIN;
    // Slow drift must not add up to a pause, nor hide one.
    this.#ahead = ahead;
    return paused;
  }
}
