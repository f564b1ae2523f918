/** Estimates how long a caller has waited before an attempt. It is inferred
 * from the timeout that the caller sends: a retry after a refusal or a lost
 * connection has less time left than a first attempt.
 * @module */

/** Recent attempts kept for each route: some seconds of a busy route. */
const RECENT_ATTEMPT_COUNT = 64;
/** Milliseconds by which the timeouts of first attempts may differ; a retry
 * comes some hundreds of milliseconds after the first attempt. */
const TIMEOUT_TOLERANCE_MS = 40;
/** Part of the recent attempts that must have the longest timeout for it to
 * count as that of first attempts. If callers use different timeouts, fewer
 * agree and nothing is inferred. */
const MIN_AGREEMENT_RATIO = 0.25;

/** Recent timeouts of callers by route; changed in place. */
export class PriorWait {
  readonly #recentTimeouts = new Map<string, number[]>();

  static create(): PriorWait {
    return new PriorWait();
  }

  /** Records an attempt; returns the milliseconds that its caller waited before
   * it, 0 for a first attempt and if nothing can be inferred. */
  estimate(route: string, timeout: number | undefined): number {
    if (timeout === undefined) return 0;
    const recent = this.#recentTimeouts.get(route) ?? [];
    this.#recentTimeouts.set(route, recent);
    recent.push(timeout);
    if (recent.length > RECENT_ATTEMPT_COUNT) recent.shift();
    const longest = Math.max(...recent);
    const agreeing =
      recent.filter((each) => each >= longest - TIMEOUT_TOLERANCE_MS).length;
    if (agreeing < MIN_AGREEMENT_RATIO * recent.length) return 0;
    const priorWait = longest - timeout;
    return priorWait > TIMEOUT_TOLERANCE_MS ? priorWait : 0;
  }
}
