/** Recently reserved items, and the arrivals that they predict: items that
 * arrive later but are more urgent run before those in the queue.
 * @module */

/** Window over which the arrival rate is measured: long enough for some dozens
 * of reservations, short beside a burst of some seconds. */
const WINDOW_MS = 1000;

/** Reserved items of one request. */
export interface Arrival {
  readonly request: string;
  readonly count: number;
  /** Approximate size of an item's result; undefined if it is unknown. */
  readonly bytes?: number;
  /** Milliseconds from the reservation to the virtual deadline. */
  readonly leadTime: number;
  readonly reservedAt: number;
}

/** Recent reservations of one partition. Mutable. */
export class Arrivals {
  #recent: Arrival[] = [];

  static create(): Arrivals {
    return new Arrivals();
  }

  record(arrival: Arrival): void {
    this.#recent.push(arrival);
  }

  /** Removes a request that was rejected: similar requests will be rejected,
   * too. */
  removeRequest(request: string): void {
    this.#recent = this.#recent.filter((each) => each.request !== request);
  }

  /** Number of items that are expected to arrive within `wait` milliseconds
   * with a virtual deadline before `deadline` and a result of an included
   * size. */
  expectedAhead(
    deadline: number,
    { wait, now, includes }: {
      wait: number;
      now: number;
      includes(size: number | undefined): boolean;
    },
  ): number {
    return this.#recent.reduce((sum, { count, bytes, leadTime }) => {
      if (!includes(bytes)) return sum;
      const span = Math.min(wait, deadline - leadTime - now);
      return span > 0 ? sum + count * span / WINDOW_MS : sum;
    }, 0);
  }

  /** Removes reservations that are older than the window. */
  expire(now: number): void {
    const first = this.#recent.findIndex(({ reservedAt: bookedAt }) =>
      bookedAt > now - WINDOW_MS
    );
    this.#recent = first < 0 ? [] : this.#recent.slice(first);
  }
}
