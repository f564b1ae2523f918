/** Timers of the requests in a host, and the wake event that serves them.
 * @module */

import type * as requestState from "./request_state.ts";
import * as timerHeap from "./timer_heap.ts";

/** A timer of a request; `look` checks whether a running call hangs. */
export interface DueTimer {
  type: "deadline" | "retry" | "hedge" | "look";
  /** Milliseconds of the host's monotonic clock. */
  at: number;
  state: requestState.RequestState;
  /** Stage and attempts when the timer was set; it is obsolete when they have
   * changed. */
  stage: number;
  attempts: number;
}

/** Timers for deadlines, retries, hedges and hang checks, by time. */
export class RequestTimers {
  readonly #timers = timerHeap.TimerHeap.create<DueTimer>();
  #wakeAt = Infinity;

  static create(): RequestTimers {
    return new RequestTimers();
  }

  get size(): number {
    return this.#timers.size;
  }

  set(
    at: number,
    type: DueTimer["type"],
    state: requestState.RequestState,
  ): void {
    const { stage, attempts } = state;
    this.#timers.add(at, { type, at, state, stage, attempts });
  }

  /** Removes and returns the next timer that is due and not obsolete. */
  take(now: number): DueTimer | undefined {
    while (this.#timers.next <= now) {
      const due = this.#timers.pop()!;
      if (isValid(due)) return due;
    }
    return undefined;
  }

  /** Records that the wake event arrived. It may arrive a fraction of a
   * millisecond early, so another one may be needed for the same time. */
  clearWake(): void {
    this.#wakeAt = Infinity;
  }

  /** Time of the next wake event to request: the earlier of the next timer and
   * `other`. Undefined when neither is set, or when a wake at that time or before
   * is already pending. */
  nextWake(now: number, other: number): number | undefined {
    while (this.#timers.size > 0 && !isValid(this.#timers.peek()!)) {
      this.#timers.pop();
    }
    if (this.#wakeAt <= now) this.#wakeAt = Infinity;
    const next = Math.min(this.#timers.next, other);
    if (next >= this.#wakeAt) return undefined;
    this.#wakeAt = next;
    return next;
  }
}

function isValid({ type, state, stage, attempts }: DueTimer): boolean {
  if (state.phase === "ended") return false;
  if (type === "deadline") return true;
  return state.stage === stage && state.attempts === attempts;
}
