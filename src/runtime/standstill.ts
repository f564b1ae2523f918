/** Notices that this process has stood still: it was suspended, others used its
 * core, or a turn of its event loop was long. What it reads right behind that may
 * have come at any time meanwhile.
 * @module */

/** Milliseconds without a turn of the event loop that count as a standstill. Shorter
 * ones are usual beside a busy machine, where whole answers would be lost. */
export const MIN_STANDSTILL_MS = 1000;
/** Milliseconds between two looks at the clock: a standstill may seem so much longer. */
const LOOK_INTERVAL_MS = 250;
/** Milliseconds behind a standstill in which what came meanwhile is still read. */
export const BACKLOG_MS = 500;

/** Dependencies and bounds of a watch. */
export interface StandstillOptions {
  /** Milliseconds of a monotonic clock. */
  now(): number;
  /** Calls a function at intervals, without keeping the process alive, until the
   * returned function is called. */
  every(interval: number, action: () => void): () => void;
  /** Least milliseconds of a standstill, more than the interval; `MIN_STANDSTILL_MS`
   * when absent. */
  readonly minimum?: number;
  /** Milliseconds between two looks at the clock. */
  readonly interval?: number;
}

/** Watches for standstills; changed in place. */
export class StandstillWatch {
  readonly #now: () => number;
  readonly #minimum: number;
  readonly #stop: () => void;
  #lookedAt: number;
  #begunAt = -Infinity;
  #endedAt = -Infinity;

  private constructor(
    {
      now,
      every,
      minimum = MIN_STANDSTILL_MS,
      interval = LOOK_INTERVAL_MS,
    }: StandstillOptions,
  ) {
    this.#now = now;
    this.#minimum = minimum;
    this.#lookedAt = now();
    this.#stop = every(interval, () => this.#look());
  }

  static start(options: StandstillOptions): StandstillWatch {
    return new StandstillWatch(options);
  }

  /** Whether a standstill has ended since a time of the clock, or is ending now. */
  hasEndedSince(time: number): boolean {
    return this.beginOfEnded({ since: time }) !== undefined;
  }

  /** When a standstill began that has ended since a time of the clock, or is ending
   * now; undefined if none has. Those in quick succession count as one. */
  beginOfEnded({ since }: { readonly since: number }): number | undefined {
    this.#look();
    return this.#endedAt >= since ? this.#begunAt : undefined;
  }

  /** Ends the watch. */
  stop(): void {
    this.#stop();
  }

  #look(): void {
    const now = this.#now();
    if (now - this.#lookedAt >= this.#minimum) {
      const isFurther = this.#lookedAt - this.#endedAt < BACKLOG_MS;
      if (!isFurther) this.#begunAt = this.#lookedAt;
      this.#endedAt = now;
    }
    this.#lookedAt = now;
  }
}
