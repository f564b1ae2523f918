/** The leader's time for commands: the machine's time when it became leader
 * plus what its own clock has counted since. A wrong wall clock cannot expire
 * anything early; gaps between leaders only make time pass more slowly.
 * @module */

/** Time of one leader. */
export class CommandClock {
  readonly #base: number;
  readonly #start: number;

  private constructor(base: number, start: number) {
    this.#base = base;
    this.#start = start;
  }

  /** Starts from the machine's time `base` at `now` of the host's clock. */
  static create(base: number, now: number): CommandClock {
    return new CommandClock(base, now);
  }

  /** Whole milliseconds to put into a command that is proposed at `now`. */
  at(now: number): number {
    return Math.floor(this.#base + Math.max(0, now - this.#start));
  }
}
