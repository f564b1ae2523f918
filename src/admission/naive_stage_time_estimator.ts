/** Naive twin of the stage time estimate: keeps every sample, and answers with
 * the median of the samples nearest in size.
 * @module */

/** Nearest samples taken by size. */
const NEAREST = 31;

interface Sample {
  size: number;
  time: number;
}

/** Sorts all samples for each prediction. */
export class NaiveStageTimeEstimator {
  readonly #samples: Sample[] = [];

  observe(size: number, time: number): void {
    this.#samples.push({ size, time });
  }

  predict(size: number): number {
    const nearest = this.#samples
      .toSorted((a, b) => Math.abs(a.size - size) - Math.abs(b.size - size))
      .slice(0, NEAREST)
      .map((sample) => sample.time)
      .sort((a, b) => a - b);
    return nearest[Math.floor(nearest.length / 2)] ?? 0;
  }
}
