/** Histogram of recent durations in a few hundred bytes. One exists for each
 * service and size class; library histograms are larger and do not decay old
 * samples.
 * @module */

/** Buckets per doubling of the duration. */
const BUCKETS_PER_DOUBLING = 4;
/** Number of buckets, from 1 ms up to about 18 minutes. */
const BUCKET_COUNT = 80;
/** Total weight at which all counts are halved, so that old samples decay. */
const MAX_WEIGHT = 1024;

/** Histogram of durations in milliseconds, with logarithmic buckets. */
export class DurationHistogram {
  #counts = new Float32Array(BUCKET_COUNT);
  #total = 0;

  /** Creates a histogram without samples. */
  static create(): DurationHistogram {
    return new DurationHistogram();
  }

  /** Total weight of the samples after decay. */
  get total(): number {
    return this.#total;
  }

  /** Adds a sample. */
  add(ms: number): void {
    this.#counts[bucketOf(ms)]++;
    this.#total++;
    if (this.#total >= MAX_WEIGHT) this.#halve();
  }

  /** Duration that a share `q` of the samples does not exceed; undefined
   * without samples. */
  quantile(q: number): number | undefined {
    if (this.#total === 0) return undefined;
    let remaining = q * this.#total;
    for (let pos = 0; pos < BUCKET_COUNT; pos++) {
      remaining -= this.#counts[pos];
      if (remaining <= 0 && this.#counts[pos] > 0) return upperBound(pos);
    }
    return upperBound(BUCKET_COUNT - 1);
  }

  /** Share of the samples that do not exceed `ms`. */
  fractionUpTo(ms: number): number {
    if (this.#total === 0) return 0;
    let below = 0;
    for (let pos = 0; pos <= bucketOf(ms); pos++) below += this.#counts[pos];
    return below / this.#total;
  }

  #halve(): void {
    this.#total = 0;
    for (let pos = 0; pos < BUCKET_COUNT; pos++) {
      this.#counts[pos] /= 2;
      this.#total += this.#counts[pos];
    }
  }
}

function bucketOf(ms: number): number {
  const pos = Math.ceil(Math.log2(Math.max(1, ms)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, pos);
}

function upperBound(pos: number): number {
  return 2 ** (pos / BUCKETS_PER_DOUBLING);
}
