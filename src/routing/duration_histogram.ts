/** Quantiles of recent durations in a few hundred bytes. The libraries'
 * histograms neither forget nor stay this small, and there is one for each
 * service and size.
 * @module */

/** Buckets in one doubling of the duration. */
const PER_OCTAVE = 4;
/** Buckets from 1 ms up to about 18 minutes. */
const BUCKETS = 80;
/** Weight at which all counts are halved, so that old samples fade. */
const CAPACITY = 1024;

/** Histogram of durations in milliseconds, on a logarithmic scale. */
export class DurationHistogram {
  #counts = new Float32Array(BUCKETS);
  #total = 0;

  /** A histogram without samples. */
  static create(): DurationHistogram {
    return new DurationHistogram();
  }

  /** Weight of the samples that still count. */
  get total(): number {
    return this.#total;
  }

  /** Adds a sample. */
  add(ms: number): void {
    this.#counts[bucketOf(ms)]++;
    this.#total++;
    if (this.#total >= CAPACITY) this.#halve();
  }

  /** Duration that a share `q` of the samples does not exceed; undefined
   * without samples. */
  quantile(q: number): number | undefined {
    if (this.#total === 0) return undefined;
    let left = q * this.#total;
    for (let pos = 0; pos < BUCKETS; pos++) {
      left -= this.#counts[pos];
      if (left <= 0 && this.#counts[pos] > 0) return upperEnd(pos);
    }
    return upperEnd(BUCKETS - 1);
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
    for (let pos = 0; pos < BUCKETS; pos++) {
      this.#counts[pos] /= 2;
      this.#total += this.#counts[pos];
    }
  }
}

function bucketOf(ms: number): number {
  const pos = Math.ceil(Math.log2(Math.max(1, ms)) * PER_OCTAVE);
  return Math.min(BUCKETS - 1, pos);
}

function upperEnd(pos: number): number {
  return 2 ** (pos / PER_OCTAVE);
}
