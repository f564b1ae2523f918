/** How far an endpoint's clock is from the host's, from the smallest delay
 * with which its reports came lately.
 * @module */

/** Milliseconds after which a smallest delay is forgotten: clocks drift. */
const WINDOW = 60_000;

/** Offset of one endpoint's clock; changed in place. */
export class ClockOffset {
  /** Smallest delay of the present window, and of the one before. */
  #present = Infinity;
  #past = Infinity;
  #since = -Infinity;
  #last = -Infinity;

  static create(): ClockOffset {
    return new ClockOffset();
  }

  /** Time of a report on the host's clock: never later than `now`. */
  toHost(at: number, now: number): number {
    // Its clock began anew: the endpoint was started again.
    if (at < this.#last) this.#past = this.#present = Infinity;
    this.#last = at;
    if (now - this.#since >= WINDOW) {
      this.#past = this.#present;
      this.#present = Infinity;
      this.#since = now;
    }
    this.#present = Math.min(this.#present, now - at);
    return at + Math.min(this.#present, this.#past);
  }
}
