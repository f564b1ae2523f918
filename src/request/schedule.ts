/** What falls due for the requests in a host, and the wake that goes with it.
 * @module */

import type * as flight from "./flight.ts";
import * as timers from "./timers.ts";

/** Something that falls due for a request. */
export interface Due {
  type: "deadline" | "retry" | "hedge" | "look";
  /** Milliseconds of the host's monotonic clock. */
  at: number;
  flight: flight.Flight;
  /** Stage and attempts when it was set: tell whether it still holds. */
  stage: number;
  attempts: number;
}

/** Deadlines, retries, hedges and looks at running calls, by time. */
export class Schedule {
  readonly #timers = timers.Timers.create<Due>();
  #wakeAt = Infinity;

  static create(): Schedule {
    return new Schedule();
  }

  get size(): number {
    return this.#timers.size;
  }

  set(at: number, type: Due["type"], of: flight.Flight): void {
    const { stage, attempts } = of;
    this.#timers.add(at, { type, at, flight: of, stage, attempts });
  }

  /** Takes out the next thing that is due and still holds. */
  take(now: number): Due | undefined {
    while (this.#timers.next <= now) {
      const due = this.#timers.pop()!;
      if (holds(due)) return due;
    }
    return undefined;
  }

  /** Notes that the wake came; timers may fire early by a fraction. */
  woken(): void {
    this.#wakeAt = Infinity;
  }

  /** When to wake for the schedule or at `other`, whichever is earlier;
   * undefined when an earlier wake is on its way or there is nothing. */
  arm(now: number, other: number): number | undefined {
    while (this.#timers.size > 0 && !holds(this.#timers.peek()!)) {
      this.#timers.pop();
    }
    if (this.#wakeAt <= now) this.#wakeAt = Infinity;
    const next = Math.min(this.#timers.next, other);
    if (next >= this.#wakeAt) return undefined;
    this.#wakeAt = next;
    return next;
  }
}

function holds({ type, flight, stage, attempts }: Due): boolean {
  if (flight.phase === "ended") return false;
  if (type === "deadline") return true;
  return flight.stage === stage && flight.attempts === attempts;
}
