/** Measured throughput of a partition while its queue is never empty. It may be
 * less than the endpoints' calls allow, if their memory for results is full.
 * @module */

/** Window over which throughput is measured: several calls. */
const WINDOW_MS = 1500;
/** Minimum duration of saturation for a measurement. */
const MIN_SPAN_MS = 400;
/** Minimum of the measured throughput, as a fraction of the nominal one. */
const MIN_RATIO = 0.3;

interface Start {
  readonly at: number;
  readonly count: number;
}

/** Throughput of one partition. Mutable. */
export class Throughput {
  #starts: Start[] = [];
  #saturatedSince = Infinity;

  static create(): Throughput {
    return new Throughput();
  }

  /** Records started items. */
  recordStart(count: number, at: number): void {
    this.#starts.push({ at, count });
  }

  /** Records whether at least a full call is still queued after all possible
   * calls have been made. */
  recordSaturation(isSaturated: boolean, now: number): void {
    if (!isSaturated) this.#saturatedSince = Infinity;
    else this.#saturatedSince = Math.min(this.#saturatedSince, now);
    this.#starts = this.#starts.filter(({ at }) => at > now - WINDOW_MS);
  }

  /** Expected throughput, in items per millisecond. */
  rate(nominal: number, now: number): number {
    const from = Math.max(this.#saturatedSince, now - WINDOW_MS);
    const span = now - from;
    if (!(span >= MIN_SPAN_MS)) return nominal;
    const started = this.#starts.reduce(
      (sum, { at, count }) => at > from ? sum + count : sum,
      0,
    );
    return Math.min(nominal, Math.max(MIN_RATIO * nominal, started / span));
  }
}
