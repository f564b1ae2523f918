/** Splits a request's remaining time into deadlines of its stages.
 * @module */

import type * as stageTimeEstimator from "./stage_time_estimator.ts";

/** Time bounds of one stage, absolute milliseconds. */
export interface StageDeadline {
  /** Latest start at which this and the later stages can meet the deadline. */
  latestStart: number;
  /** Target end of the stage; unused time passes to later stages. */
  finish: number;
}

/** Computes the bounds of the remaining stages. The remaining time is split in
 * proportion to the high quantile of each stage; the latest starts follow from
 * the means. Callers repeat the split after each stage, so that later stages
 * get the time that earlier ones did not use. */
export function splitDeadline(
  stages: readonly stageTimeEstimator.Prediction[],
  now: number,
  deadline: number,
): StageDeadline[] {
  const remaining = Math.max(0, deadline - now);
  const total = stages.reduce((sum, stage) => sum + stage.high, 0);
  let mean = stages.reduce((sum, stage) => sum + stage.mean, 0);
  let high = 0;
  return stages.map((stage) => {
    const latestStart = deadline - mean;
    mean -= stage.mean;
    high += stage.high;
    const share = total > 0 ? high / total : 1;
    return { latestStart, finish: now + remaining * share };
  });
}
