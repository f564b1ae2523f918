/** Time as the core sees it: read by shells, passed to the core as `now`.
 * @module */

/** Cancels a timer that has not fired yet; does nothing afterwards. */
export type Cancel = () => void;

/** Source of time and of timers. */
export interface Clock {
  /** Milliseconds on a clock that never goes back. */
  now(): number;
  /** Milliseconds since the Unix epoch, for people and for documents. */
  wall(): number;
  /** Runs `callback` once, `delay` milliseconds from now. */
  after(delay: number, callback: () => void): Cancel;
}

/** The clock of the machine. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(delay, callback) {
    const timer = setTimeout(callback, Math.max(0, delay));
    return () => clearTimeout(timer);
  },
};
