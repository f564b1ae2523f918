/** A clock for tests whose hosts, endpoints and callers share one event loop.
 * @module */

import type * as clock from "./clock.ts";
import * as fakeClocks from "./fake_clock.ts";

/** Milliseconds from one turn of the event loop that the clock counts to the
 * next. */
const TURN_MS = 5;
/** Most milliseconds that pass in one of them: timers of an idle machine are late
 * by less. */
const MAX_TURN_MS = 2 * TURN_MS;

/** Passes as the system's clock does, but not while the event loop stands still
 * or is busy: what is due in some time then has as many turns for it as on an
 * idle machine. Timers run after what has arrived is read, as with the system's
 * clock. */
export class TurnClock implements clock.Clock {
  readonly #time = new fakeClocks.FakeClock();
  readonly #start = performance.now();
  readonly #startWall = Date.now();
  #turnedAt = performance.now();

  /** Starts a clock that keeps no process alive. */
  static start(): TurnClock {
    const started = new TurnClock();
    started.#waitForTurn();
    return started;
  }

  now(): number {
    return this.#start + this.#time.now();
  }

  wall(): number {
    return this.#startWall + this.#time.now();
  }

  after(delay: number, callback: () => void): clock.Cancel {
    return this.#time.after(delay, callback);
  }

  #waitForTurn(): void {
    setTimeout(() => setImmediate(() => this.#turn()), TURN_MS).unref();
  }

  #turn(): void {
    this.#waitForTurn();
    const now = performance.now();
    const passed = Math.min(now - this.#turnedAt, MAX_TURN_MS);
    this.#turnedAt = now;
    this.#time.advance(passed);
  }
}
