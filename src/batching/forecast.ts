/** When the pieces of a request's stages will be made.
 * @module */

import type * as configurations from "../configuration/mod.ts";

/** One stage as a forecast sees it. */
export interface StageForecast {
  readonly after: readonly number[];
  /** Milliseconds until its pieces would be begun; 0 where it has none. */
  readonly wait: number;
  /** Milliseconds that its calls take; 0 where it has no pieces. */
  readonly work: number;
}

/** Milliseconds until all stages are made. What waits is drained while earlier
 * stages are made, so a stage begins when both are over. */
export function completionTime(stages: readonly StageForecast[]): number {
  const ends: number[] = [];
  for (const { after, wait, work } of stages) {
    const start = Math.max(0, ...after.map((other) => ends[other]));
    ends.push(work === 0 ? start : Math.max(start, wait) + work);
  }
  return Math.max(0, ...ends);
}

/** Milliseconds of work that follow on each stage. */
export function remainingTimes(
  stages: readonly Pick<StageForecast, "after" | "work">[],
): number[] {
  const tails = stages.map(() => 0);
  for (let number = stages.length - 1; number >= 0; number--) {
    const { after, work } = stages[number];
    for (const other of after) {
      tails[other] = Math.max(tails[other], tails[number] + work);
    }
  }
  return tails;
}

/** Milliseconds that the calls for so many pieces take, side by side. */
export function callDuration(
  { batch, callTime, itemTime: pieceTime }: configurations.BatchTraits,
  count: number,
): number {
  return count === 0 ? 0 : callTime + Math.min(count, batch) * pieceTime;
}
