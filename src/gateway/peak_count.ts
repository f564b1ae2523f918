/** Largest recent number of hosts.
 *
 * A host that is lost or cut off may have used its share of a budget within the
 * budget's window, so the shares of the others grow only after it.
 * @module */

interface Count {
  readonly count: number;
  /** Time until which it was the current one; Infinity for the current one. */
  readonly until: number;
}

/** Largest of the counts that were current within a window; changed in place. */
export class PeakCount {
  readonly #window: number;
  #counts: readonly Count[] = [];

  private constructor(window: number) {
    this.#window = window;
  }

  /** Creates an empty one for a window in milliseconds. */
  static create(window: number): PeakCount {
    return new PeakCount(window);
  }

  /** Records the count that is current from now on. */
  record(count: number, now: number): void {
    const last = this.#counts.at(-1);
    if (last?.count === count) return;
    this.#expire(now);
    this.#counts = [
      ...this.#counts.map((each) =>
        each === last ? { ...each, until: now } : each
      ),
      { count, until: Infinity },
    ];
  }

  /** The largest count in the window that ends now; 0 before the first one. */
  peak(now: number): number {
    this.#expire(now);
    return Math.max(0, ...this.#counts.map(({ count }) => count));
  }

  #expire(now: number): void {
    const from = now - this.#window;
    this.#counts = this.#counts.filter(({ until }) => until > from);
  }
}
