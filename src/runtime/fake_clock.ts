/** A clock that a test or a benchmark advances.
 * @module */

import type * as clock from "./clock.ts";

interface Timer {
  due: number;
  order: number;
  callback: () => void;
}

/** A virtual clock; timers fire in order of due time, then of creation. */
export class FakeClock implements clock.Clock {
  #now = 0;
  #order = 0;
  #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#now;
  }

  after(delay: number, callback: () => void): clock.Cancel {
    const due = this.#now + Math.max(0, delay);
    const timer = { due, order: this.#order++, callback };
    this.#insert(timer);
    return () => {
      const pos = this.#timers.indexOf(timer);
      if (pos >= 0) this.#timers.splice(pos, 1);
    };
  }

  /** Advances time by `ms` and fires the timers that become due. */
  advance(ms: number): void {
    const end = this.#now + ms;
    while (this.#timers.length > 0 && this.#timers[0].due <= end) {
      this.step();
    }
    this.#now = end;
  }

  /** Advances time to the next timer and fires it; returns false if there is
   * none. */
  step(): boolean {
    const timer = this.#timers.shift();
    if (timer === undefined) return false;
    this.#now = Math.max(this.#now, timer.due);
    timer.callback();
    return true;
  }

  #insert(timer: Timer): void {
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#timers[middle].due <= timer.due) low = middle + 1;
      else high = middle;
    }
    this.#timers.splice(low, 0, timer);
  }
}
