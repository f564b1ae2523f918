/** Reserved items that have not been submitted, and the wait that they and
 * further arrivals cause.
 * @module */

import * as arrivals from "./arrivals.ts";
import * as tasks from "./task.ts";
import type * as throughputs from "./throughput.ts";

/** Time after its due time at which a reservation is dropped. */
const RETENTION_MS = 1000;
/** Iterations of the fixed point of the wait and the arrivals during it. */
const ITERATION_COUNT = 4;

/** Items of a stage that will be submitted. */
export interface Reservation {
  readonly request: string;
  readonly stage: number;
  readonly count: number;
  readonly dueAt: number;
  readonly rank: number;
  /** Approximate size of an item's result; undefined if it is unknown. */
  readonly bytes?: number;
}

/** Reservations of one partition. Mutable. */
export class Reservations {
  readonly #reservations = new Map<string, Reservation>();
  readonly #arrivals = arrivals.Arrivals.create();

  static create(): Reservations {
    return new Reservations();
  }

  /** Adds a reservation, or renews the one of the same stage. */
  add(reservation: Reservation, now: number): void {
    const { request, count, bytes } = reservation;
    const leadTime = tasks.virtualDeadline(reservation) - now;
    const key = tasks.stageKey(reservation);
    const isRenewed = this.#reservations.has(key);
    this.#reservations.set(key, reservation);
    if (isRenewed) return;
    const arrival = { request, count, bytes, leadTime, reservedAt: now };
    this.#arrivals.record(arrival);
  }

  /** Removes the reservation of a stage, whose items have been submitted. */
  remove(submitted: Pick<Reservation, "request" | "stage">): void {
    this.#reservations.delete(tasks.stageKey(submitted));
  }

  /** Removes all reservations of a request. */
  removeRequest(request: string): void {
    this.#arrivals.removeRequest(request);
    for (const [key, reservation] of this.#reservations) {
      if (reservation.request === request) this.#reservations.delete(key);
    }
  }

  /** Removes reservations that were not fulfilled in time. */
  expire(now: number): void {
    this.#arrivals.expire(now);
    for (const [key, { dueAt }] of this.#reservations) {
      if (dueAt + RETENTION_MS < now) this.#reservations.delete(key);
    }
  }

  /** Milliseconds until a task with the virtual deadline `deadline` starts:
   * behind `waiting` queued tasks, earlier reservations, and arrivals expected
   * meanwhile, as far as they are included in `pace`. */
  estimateWait(
    deadline: number,
    { waiting, pace, now }: {
      waiting: number;
      pace: Pick<throughputs.Pace, "rate" | "includes">;
      now: number;
    },
  ): number {
    const { rate, includes } = pace;
    const ahead = waiting + this.#countAhead(deadline, includes);
    let wait = ahead / rate;
    for (let step = 0; step < ITERATION_COUNT; step++) {
      const period = { wait, now, includes };
      const arriving = this.#arrivals.expectedAhead(deadline, period);
      wait = (ahead + arriving) / rate;
    }
    return wait;
  }

  #countAhead(
    deadline: number,
    includes: throughputs.Pace["includes"],
  ): number {
    let count = 0;
    for (const reservation of this.#reservations.values()) {
      const isAhead = tasks.virtualDeadline(reservation) <= deadline;
      if (isAhead && includes(reservation.bytes)) count += reservation.count;
    }
    return count;
  }
}
