/** How fast the pieces of a service are begun while some always wait: it may be
 * less than its endpoints' calls allow, when their room for results is full.
 * @module */

/** Milliseconds over which the pace is measured: some calls. */
const WINDOW = 1500;
/** Least milliseconds that tell anything. */
const LEAST = 400;
/** Part of the nominal pace that a measured one is held to at least. */
const FLOOR = 0.3;

interface Begin {
  readonly at: number;
  readonly count: number;
}

/** The pace of one service; changed in place. */
export class Throughput {
  #begins: Begin[] = [];
  #saturatedSince = Infinity;

  static create(): Throughput {
    return new Throughput();
  }

  /** Notes that pieces are begun. */
  recordStart(count: number, at: number): void {
    this.#begins.push({ at, count });
  }

  /** Notes whether more than a full call waits after all that can be begun has
   * been. */
  recordSaturation(isSaturated: boolean, now: number): void {
    if (!isSaturated) this.#saturatedSince = Infinity;
    else this.#saturatedSince = Math.min(this.#saturatedSince, now);
    this.#begins = this.#begins.filter(({ at }) => at > now - WINDOW);
  }

  /** Pieces a millisecond that are to be expected. */
  rate(nominal: number, now: number): number {
    const from = Math.max(this.#saturatedSince, now - WINDOW);
    const span = now - from;
    if (!(span >= LEAST)) return nominal;
    const begun = this.#begins.reduce(
      (sum, { at, count }) => at > from ? sum + count : sum,
      0,
    );
    return Math.min(nominal, Math.max(FLOOR * nominal, begun / span));
  }
}
