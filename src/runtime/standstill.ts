/** Notices that this process has stood still: it was suspended, others used its
 * core, or a turn of its event loop was long. What it reads right behind that may
 * have come at any time meanwhile.
 * @module */

/** Milliseconds without a turn of the event loop that count as a standstill. Shorter
 * ones are usual beside a busy machine, where whole answers would be lost; a process
 * that takes the place of one that has ended within such a time is not noticed. */
export const MIN_STANDSTILL_MS = 1000;
/** Milliseconds between two looks at the clock: a standstill may seem so much longer. */
const LOOK_INTERVAL_MS = 250;

/** Dependencies of a watch. */
export interface StandstillOptions {
  /** Milliseconds of a monotonic clock. */
  now(): number;
  /** Calls a function at intervals, without keeping the process alive. */
  every(interval: number, action: () => void): void;
}

/** Watches for standstills; changed in place. */
export class StandstillWatch {
  readonly #now: () => number;
  #lookedAt: number;
  #endedAt = -Infinity;

  private constructor({ now, every }: StandstillOptions) {
    this.#now = now;
    this.#lookedAt = now();
    every(LOOK_INTERVAL_MS, () => this.#look());
  }

  static start(options: StandstillOptions): StandstillWatch {
    return new StandstillWatch(options);
  }

  /** Whether a standstill has ended since a time of the clock, or is ending now. */
  hasEndedSince(time: number): boolean {
    this.#look();
    return this.#endedAt >= time;
  }

  #look(): void {
    const now = this.#now();
    if (now - this.#lookedAt >= MIN_STANDSTILL_MS) this.#endedAt = now;
    this.#lookedAt = now;
  }
}
