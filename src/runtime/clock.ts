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

/** The clock of the operating system.
 *
 * A callback runs after what has arrived meanwhile is read. The event loop runs
 * timers before it reads sockets: after a process stood still, or was busy for
 * long, a timeout would take its own pause for the silence of another one whose
 * bytes wait to be read. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(delay, callback) {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      immediate = setImmediate(callback);
    }, Math.max(0, delay));
    return () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    };
  },
};
