/** What is to be expected for a request when its pieces have been booked, and
 * what is done about it.
 * @module */

import type * as configurations from "../configuration/mod.ts";

/** Mean errors of forecasts by which a request may be expected to miss its
 * objective and be let in: then one in six is in time all the same. Who is
 * refused can hardly be in time when it comes back, while one that is let in
 * and becomes late goes behind others. */
const TOLERATED = 1.25;
/** Part of the objective that is tolerated at most: where all is late, errors
 * are seconds, and what they would let in makes more late. */
const MOST_TOLERATED = 0.1;
/** Ranks by which a request that cannot be in time goes behind: enough for those
 * that can be in time, and come while it waits, to go first. */
const LATE_RANKS = 25;
/** Callers leave a stream without events after the longest of these: so many
 * milliseconds, objectives, and longest pauses. */
const LEAVE = 2000;
const LEAVE_OBJECTIVES = 4;
const LEAVE_GAPS = 8;

/** Milliseconds after which a caller leaves when nothing has come. */
export function abandonmentTime(
  { kind, timeout, objective, gap = 0 }: configurations.Route,
): number {
  if (kind !== "streaming") return timeout;
  const silent = Math.max(
    LEAVE,
    LEAVE_OBJECTIVES * objective,
    LEAVE_GAPS * gap,
  );
  return Math.min(timeout, silent);
}

/** Rank that a request counts as: who can be in time goes before who cannot. */
export function effectiveRank(rank: number, isLate: boolean): number {
  return isLate ? rank + LATE_RANKS : rank;
}

/** What is expected of a request's pieces, in milliseconds from now. */
export interface CalibratedForecast {
  /** Until all are made. */
  readonly finish: number;
  /** The same if nothing waited. */
  readonly uncontended: number;
  /** By which forecasts miss on average. */
  readonly error: number;
}

/** Whether pieces are expected in time for an objective, of which `left` is
 * left for them. One that takes too long even where nothing waits is not
 * refused for it: coming back would not help. */
export function meetsObjective(
  { finish, uncontended: alone, error }: CalibratedForecast,
  { left, objective }: { left: number; objective: number },
): boolean {
  const tolerance = Math.min(TOLERATED * error, MOST_TOLERATED * objective);
  return finish - Math.max(left, alone) <= tolerance;
}
