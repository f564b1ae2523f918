/** Pieces that were booked and have not been asked for, and what they say of
 * those to come.
 * @module */

import * as arrivals from "./arrivals.ts";
import * as work from "./task.ts";

/** Milliseconds after which pieces that were booked are not expected. */
const MEMORY = 1000;
/** Steps towards the wait that agrees with what comes during it. */
const STEPS = 4;

/** Pieces that will be asked for. */
export interface Reservation {
  readonly request: string;
  readonly stage: number;
  readonly count: number;
  readonly dueAt: number;
  readonly rank: number;
}

/** Bookings of one cell; changed in place. */
export class Reservations {
  readonly #booked = new Map<string, Reservation>();
  readonly #arrivals = arrivals.Arrivals.create();

  static create(): Reservations {
    return new Reservations();
  }

  add(booking: Reservation, now: number): void {
    const { request, count } = booking;
    const allowed = work.virtualDeadline(booking) - now;
    this.#booked.set(work.stageKey(booking), booking);
    this.#arrivals.record({ request, count, leadTime: allowed, bookedAt: now });
  }

  /** Notes that pieces have been asked for. */
  remove(asked: Pick<Reservation, "request" | "stage">): void {
    this.#booked.delete(work.stageKey(asked));
  }

  /** Forgets a request. */
  removeRequest(request: string): void {
    this.#arrivals.removeRequest(request);
    for (const [key, booking] of this.#booked) {
      if (booking.request === request) this.#booked.delete(key);
    }
  }

  /** Forgets what was booked and did not come in time. */
  expire(now: number): void {
    this.#arrivals.expire(now);
    for (const [key, { dueAt: wanted }] of this.#booked) {
      if (wanted + MEMORY < now) this.#booked.delete(key);
    }
  }

  /** Milliseconds until `turn` has come, behind `waiting` pieces, what is booked
   * before it and what will come meanwhile; `rate` pieces are begun in a
   * millisecond. */
  estimateWait(
    turn: number,
    { waiting, rate, now }: { waiting: number; rate: number; now: number },
  ): number {
    const ahead = waiting + this.#ahead(turn);
    let wait = ahead / rate;
    for (let step = 0; step < STEPS; step++) {
      const coming = this.#arrivals.expectedAhead(turn, { wait, now });
      wait = (ahead + coming) / rate;
    }
    return wait;
  }

  #ahead(turn: number): number {
    let count = 0;
    for (const booking of this.#booked.values()) {
      if (work.virtualDeadline(booking) <= turn) count += booking.count;
    }
    return count;
  }
}
