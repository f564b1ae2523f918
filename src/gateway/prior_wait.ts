/** How long a caller has waited before an attempt, from the patience that it
 * brings: who comes back after a refusal or a lost connection has less left
 * than who comes for the first time.
 * @module */

/** Attempts of a route that are remembered: some seconds of a busy route. */
const REMEMBERED = 64;
/** Milliseconds by which the patience of first attempts may differ; a caller
 * that comes back was away for some hundreds. */
const CLOSE = 40;
/** Part of the remembered attempts that must bring the longest patience, so
 * that it counts as that of a first attempt. Where callers differ by
 * themselves less than this agree, and nothing is concluded. */
const AGREEING = 0.25;

/** The patience of callers by route; changed in place. */
export class PriorWait {
  readonly #recent = new Map<string, number[]>();

  static create(): PriorWait {
    return new PriorWait();
  }

  /** Milliseconds for which the caller of an attempt has waited before it; 0
   * of a first attempt, and where nothing tells. Notes the attempt. */
  estimate(route: string, patience: number | undefined): number {
    if (patience === undefined) return 0;
    const recent = this.#recent.get(route) ?? [];
    this.#recent.set(route, recent);
    recent.push(patience);
    if (recent.length > REMEMBERED) recent.shift();
    const longest = Math.max(...recent);
    const agreeing = recent.filter((each) => each >= longest - CLOSE).length;
    if (agreeing < AGREEING * recent.length) return 0;
    const waited = longest - patience;
    return waited > CLOSE ? waited : 0;
  }
}
