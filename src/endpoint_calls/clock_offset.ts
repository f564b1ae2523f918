/** Estimates the offset of an endpoint's clock from the host's as the minimum
 * difference between receipt and timestamp of its recent reports.
 * @module */

/** Window of the minimum; bounded, since clocks drift. */
const WINDOW_MS = 60_000;

/** Offset of one endpoint's clock. */
export class ClockOffset {
  /** Minimum difference in the current window, and in the previous one. */
  #currentMin = Infinity;
  #previousMin = Infinity;
  #windowStart = -Infinity;
  #lastReportAt = -Infinity;

  static create(): ClockOffset {
    return new ClockOffset();
  }

  /** Converts the time of a report to the host's clock; never later than
   * `now`. */
  toHost(at: number, now: number): number {
    // The timestamps went back: the endpoint has restarted, so reset the minimum.
    if (at < this.#lastReportAt) {
      this.#previousMin = this.#currentMin = Infinity;
    }
    this.#lastReportAt = at;
    if (now - this.#windowStart >= WINDOW_MS) {
      this.#previousMin = this.#currentMin;
      this.#currentMin = Infinity;
      this.#windowStart = now;
    }
    this.#currentMin = Math.min(this.#currentMin, now - at);
    return at + Math.min(this.#currentMin, this.#previousMin);
  }
}
