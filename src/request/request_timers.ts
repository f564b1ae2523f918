/** What falls due for the requests in a host, and the wake that goes with it.
 * @module */

import type * as flight from "./request_state.ts";
import * as timers from "./timer_heap.ts";

/** Something that falls due for a request. */
export interface DueTimer {
  type: "deadline" | "retry" | "hedge" | "look";
  /** Milliseconds of the host's monotonic clock. */
  at: number;
  state: flight.RequestState;
  /** Stage and attempts when it was set: tell whether it still holds. */
  stage: number;
  attempts: number;
}

/** Deadlines, retries, hedges and looks at running calls, by time. */
export class RequestTimers {
  readonly #timers = timers.TimerHeap.create<DueTimer>();
  #wakeAt = Infinity;

  static create(): RequestTimers {
    return new RequestTimers();
  }

  get size(): number {
    return this.#timers.size;
  }

  set(at: number, type: DueTimer["type"], of: flight.RequestState): void {
    const { stage, attempts } = of;
    this.#timers.add(at, { type, at, state: of, stage, attempts });
  }

  /** Takes out the next thing that is due and still holds. */
  take(now: number): DueTimer | undefined {
    while (this.#timers.next <= now) {
      const due = this.#timers.pop()!;
      if (holds(due)) return due;
    }
    return undefined;
  }

  /** Notes that the wake came; timers may fire early by a fraction. */
  clearWake(): void {
    this.#wakeAt = Infinity;
  }

  /** When to wake for the schedule or at `other`, whichever is earlier;
   * undefined when an earlier wake is on its way or there is nothing. */
  nextWake(now: number, other: number): number | undefined {
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

function holds({ type, state: flight, stage, attempts }: DueTimer): boolean {
  if (flight.phase === "ended") return false;
  if (type === "deadline") return true;
  return flight.stage === stage && flight.attempts === attempts;
}
