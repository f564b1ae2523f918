/** The times that a leader puts into commands: the machine time at its election
 * plus the time that has passed since on its monotonic clock. An incorrect wall
 * clock therefore expires nothing early; the gap between two leaders is not
 * counted, so that records can only expire later.
 * @module */

/** Command times during one leadership. */
export class CommandClock {
  readonly #machineTime: number;
  readonly #startedAt: number;

  private constructor(base: number, start: number) {
    this.#machineTime = base;
    this.#startedAt = start;
  }

  /** Creates a clock that shows `machineTime` at `now` of the host's clock. */
  static create(machineTime: number, now: number): CommandClock {
    return new CommandClock(machineTime, now);
  }

  /** Returns the time of a command that is proposed at `now`, in whole
   * milliseconds. */
  at(now: number): number {
    return Math.floor(this.#machineTime + Math.max(0, now - this.#startedAt));
  }
}
