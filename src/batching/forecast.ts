/** Estimates when the items of a request's stages will be complete.
 * @module */

import type * as configurations from "../configuration/mod.ts";

/** Estimate of one stage. */
export interface StageForecast {
  readonly after: readonly number[];
  /** Milliseconds until its items start; 0 if it has none. */
  readonly wait: number;
  /** Duration of its calls in milliseconds; 0 if it has no items. */
  readonly work: number;
}

/** Milliseconds until all stages are complete. The queue of a stage drains
 * while earlier stages run, so a stage starts once its wait is over and its
 * inputs are complete. */
export function completionTime(stages: readonly StageForecast[]): number {
  const ends: number[] = [];
  for (const { after, wait, work } of stages) {
    const start = Math.max(0, ...after.map((other) => ends[other]));
    ends.push(work === 0 ? start : Math.max(start, wait) + work);
  }
  return Math.max(0, ...ends);
}

/** Duration of the longest chain of stages behind each stage, in
 * milliseconds. */
export function remainingTimes(
  stages: readonly Pick<StageForecast, "after" | "work">[],
): number[] {
  const times = stages.map(() => 0);
  for (let index = stages.length - 1; index >= 0; index--) {
    const { after, work } = stages[index];
    for (const other of after) {
      times[other] = Math.max(times[other], times[index] + work);
    }
  }
  return times;
}

/** Duration of the calls for `count` items, which run in parallel, in
 * milliseconds. */
export function callDuration(
  { batch, callTime, itemTime }: configurations.BatchTraits,
  count: number,
): number {
  return count === 0 ? 0 : callTime + Math.min(count, batch) * itemTime;
}
