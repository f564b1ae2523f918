/** Interface of the clock. State machines do not read it; their callers pass the
 * time as `now`.
 * @module */

/** Cancels a timer; has no effect once the timer has fired. */
export type Cancel = () => void;

/** Source of time and of timers. */
export interface Clock {
  /** Returns the milliseconds of a monotonic clock. */
  now(): number;
  /** Returns the milliseconds since the Unix epoch, for display and stored
   * documents. */
  wall(): number;
  /** Runs `callback` once after `delay` milliseconds. */
  after(delay: number, callback: () => void): Cancel;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(delay, callback) {
    const timer = setTimeout(callback, Math.max(0, delay));
    return () => clearTimeout(timer);
  },
};
