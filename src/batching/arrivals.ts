/** Pieces that were booked lately, and what they say of those to come: what is
 * more urgent and comes later goes before what waits now.
 * @module */

/** Milliseconds over which bookings tell the rate of those to come: long
 * enough for some dozens of them, short beside a burst of some seconds. */
const WINDOW = 1000;

/** Pieces that were booked. */
export interface Arrival {
  readonly request: string;
  readonly count: number;
  /** Milliseconds from the booking to the time that decides its turn. */
  readonly leadTime: number;
  readonly bookedAt: number;
}

/** Bookings of one cell; changed in place. */
export class Arrivals {
  #recent: Arrival[] = [];

  static create(): Arrivals {
    return new Arrivals();
  }

  record(arrival: Arrival): void {
    this.#recent.push(arrival);
  }

  /** Forgets a request that was refused: what comes like it will be, too. */
  removeRequest(request: string): void {
    this.#recent = this.#recent.filter((each) => each.request !== request);
  }

  /** Pieces expected to come within `wait` milliseconds and to have their turn
   * before `turn`. */
  expectedAhead(
    turn: number,
    { wait, now }: { wait: number; now: number },
  ): number {
    return this.#recent.reduce((sum, { count, leadTime: allowed }) => {
      const span = Math.min(wait, turn - allowed - now);
      return span > 0 ? sum + count * span / WINDOW : sum;
    }, 0);
  }

  /** Forgets what is too old to tell anything. */
  expire(now: number): void {
    const first = this.#recent.findIndex(({ bookedAt: at }) =>
      at > now - WINDOW
    );
    this.#recent = first < 0 ? [] : this.#recent.slice(first);
  }
}
