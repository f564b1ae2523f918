/** Reference implementation of the stage time estimate, for tests and
 * benchmarks: keeps every sample and predicts the median of the nearest ones by
 * size.
 * @module */

/** Number of nearest samples of which the median is taken. */
const NEAREST_COUNT = 31;

interface Sample {
  size: number;
  time: number;
}

/** Nearest-neighbour estimate that sorts all samples for each prediction. */
export class NaiveStageTimeEstimator {
  readonly #samples: Sample[] = [];

  observe(size: number, time: number): void {
    this.#samples.push({ size, time });
  }

  predict(size: number): number {
    const nearest = this.#samples
      .toSorted((a, b) => Math.abs(a.size - size) - Math.abs(b.size - size))
      .slice(0, NEAREST_COUNT)
      .map((sample) => sample.time)
      .sort((a, b) => a - b);
    return nearest[Math.floor(nearest.length / 2)] ?? 0;
  }
}
