/** Percentiles of times, by hdr-histogram.
 * @module */

import * as hdr from "hdr-histogram-js";

/** Milliseconds; zeros when nothing was recorded. */
export interface Summary {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

/** An hour, in ticks. */
const HIGHEST = 36_000_000;
/** Ticks of a millisecond, so that short stages keep a digit. */
const TICKS = 10;

/** Summary of times in milliseconds. */
export function summarize(times: Iterable<number>): Summary {
  const histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST,
    numberOfSignificantValueDigits: 3,
  });
  let count = 0;
  for (const time of times) {
    const ticks = Math.round(Math.max(0, time) * TICKS);
    histogram.recordValue(Math.min(HIGHEST, ticks));
    count++;
  }
  const at = (percentile: number) =>
    count === 0 ? 0 : histogram.getValueAtPercentile(percentile) / TICKS;
  return {
    count,
    mean: count === 0 ? 0 : round(histogram.mean / TICKS),
    p50: at(50),
    p90: at(90),
    p99: at(99),
    max: count === 0 ? 0 : histogram.maxValue / TICKS,
  };
}

function round(value: number): number {
  return Math.round(value * TICKS) / TICKS;
}
