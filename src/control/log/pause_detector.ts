/** Detects pauses that the monotonic clock does not count, such as a suspended
 * system, by the wall clock's advance over it. A wall clock that is set forward
 * is also reported as a pause, which is harmless.
 * @module */

import type * as runtime from "../../runtime/mod.ts";

/** Maximum advance of the wall clock over the monotonic clock between two
 * readings that does not count as a pause. */
const MARGIN_MS = 30;

/** Compares the advance of the wall clock and the monotonic clock between
 * calls. */
export class PauseDetector {
  readonly #clock: runtime.Clock;
  #wallOffset: number;

  constructor(clock: runtime.Clock) {
    this.#clock = clock;
    this.#wallOffset = clock.wall() - clock.now();
  }

  /** Whether a pause has occurred since the last call. */
  hasPaused(): boolean {
    const wallOffset = this.#clock.wall() - this.#clock.now();
    const paused = wallOffset - this.#wallOffset > MARGIN_MS;
    // The offset is updated on each call, so that slow drift neither adds up to
    // a pause nor hides one.
    this.#wallOffset = wallOffset;
    return paused;
  }
}
