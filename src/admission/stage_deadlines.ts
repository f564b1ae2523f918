/** One deadline over the stages that remain.
 * @module */

import type * as estimate from "./stage_time_estimator.ts";

/** Absolute bounds of one stage, milliseconds. */
export interface StageDeadline {
  /** Latest start at which this and the later stages still fit. */
  latestStart: number;
  /** By when the stage should end; a later stage gets what is left over. */
  finish: number;
}

/** Bounds of the remaining stages. The time left is split in proportion to the
 * high quantile of each stage; the latest starts go by the means. Called again
 * after each stage, so that later stages get what earlier ones left. */
export function splitDeadline(
  stages: readonly estimate.Prediction[],
  now: number,
  deadline: number,
): StageDeadline[] {
  const left = Math.max(0, deadline - now);
  const total = stages.reduce((sum, stage) => sum + stage.high, 0);
  let mean = stages.reduce((sum, stage) => sum + stage.mean, 0);
  let high = 0;
  return stages.map((stage) => {
    const latestStart = deadline - mean;
    mean -= stage.mean;
    high += stage.high;
    const share = total > 0 ? high / total : 1;
    return { latestStart, finish: now + left * share };
  });
}
