/** Pieces that were booked and have not been asked for, and what they say of
 * those to come.
 * @module */

import * as arrivals from "./arrivals.ts";
import * as work from "./work.ts";

/** Milliseconds after which pieces that were booked are not expected. */
const MEMORY = 1000;
/** Steps towards the wait that agrees with what comes during it. */
const STEPS = 4;

/** Pieces that will be asked for. */
export interface Booking {
  readonly request: string;
  readonly stage: number;
  readonly count: number;
  readonly wanted: number;
  readonly rank: number;
}

/** Bookings of one cell; changed in place. */
export class Bookings {
  readonly #booked = new Map<string, Booking>();
  readonly #arrivals = arrivals.Arrivals.create();

  static create(): Bookings {
    return new Bookings();
  }

  note(booking: Booking, now: number): void {
    const { request, count } = booking;
    const allowed = work.turnOf(booking) - now;
    this.#booked.set(work.stageOf(booking), booking);
    this.#arrivals.note({ request, count, allowed, at: now });
  }

  /** Notes that pieces have been asked for. */
  take(asked: Pick<Booking, "request" | "stage">): void {
    this.#booked.delete(work.stageOf(asked));
  }

  /** Forgets a request. */
  drop(request: string): void {
    this.#arrivals.drop(request);
    for (const [key, booking] of this.#booked) {
      if (booking.request === request) this.#booked.delete(key);
    }
  }

  /** Forgets what was booked and did not come in time. */
  expire(now: number): void {
    this.#arrivals.expire(now);
    for (const [key, { wanted }] of this.#booked) {
      if (wanted + MEMORY < now) this.#booked.delete(key);
    }
  }

  /** Milliseconds until `turn` has come, behind `waiting` pieces, what is booked
   * before it and what will come meanwhile; `rate` pieces are begun in a
   * millisecond. */
  wait(
    turn: number,
    { waiting, rate, now }: { waiting: number; rate: number; now: number },
  ): number {
    const ahead = waiting + this.#ahead(turn);
    let wait = ahead / rate;
    for (let step = 0; step < STEPS; step++) {
      const coming = this.#arrivals.overtaking(turn, { wait, now });
      wait = (ahead + coming) / rate;
    }
    return wait;
  }

  #ahead(turn: number): number {
    let count = 0;
    for (const booking of this.#booked.values()) {
      if (work.turnOf(booking) <= turn) count += booking.count;
    }
    return count;
  }
}
