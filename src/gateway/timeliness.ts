/** Decides from the forecast of a request's stages whether it can meet its
 * objective, and how late requests are ranked.
 * @module */

import type * as configurations from "../configuration/mod.ts";

/** Multiple of the mean forecast error by which a request may be forecast to
 * miss its objective and still be admitted: at that point one in six meets it
 * all the same. A refused request can hardly meet it on a retry, whereas an
 * admitted one that becomes late yields to others. */
const TOLERATED_ERROR_RATIO = 1.25;
/** Bound of that tolerance as a part of the objective: in an overload errors
 * reach seconds, and requests admitted by them would delay others. */
const MAX_TOLERATED_OBJECTIVE_RATIO = 0.1;
/** Ranks added to a late request: enough that requests which can meet their
 * objective overtake it, also if they arrive while it waits. */
const LATE_RANK_COUNT = 25;
/** Callers abandon a stream without events after the longest of these: a time
 * in milliseconds, a multiple of the objective, and a multiple of the longest
 * gap between events. */
const ABANDONMENT_MS = 2000;
const ABANDONMENT_OBJECTIVE_COUNT = 4;
const ABANDONMENT_GAP_COUNT = 8;

/** Milliseconds after which a caller abandons a request without an answer. */
export function abandonmentTime(
  { kind, timeout, objective, gap = 0 }: configurations.Route,
): number {
  if (kind !== "streaming") return timeout;
  const idleTime = Math.max(
    ABANDONMENT_MS,
    ABANDONMENT_OBJECTIVE_COUNT * objective,
    ABANDONMENT_GAP_COUNT * gap,
  );
  return Math.min(timeout, idleTime);
}

/** Whether an answer meets the objective of its route. `elapsed` is the time
 * since the caller's first attempt, up to the answer or the first event of a
 * stream. */
export function timelinessOf(
  { objective = Infinity }: Partial<configurations.Route>,
  elapsed: number,
): "in-time" | "late" {
  return elapsed <= objective ? "in-time" : "late";
}

/** Rank of a request, lowered if it is late, so that requests which can meet
 * their objective go first. */
export function effectiveRank(rank: number, isLate: boolean): number {
  return isLate ? rank + LATE_RANK_COUNT : rank;
}

/** Calibrated forecast of a request's stages, in milliseconds from now. */
export interface CalibratedForecast {
  /** Completion of all stages. */
  readonly finish: number;
  /** The same without queueing. */
  readonly uncontended: number;
  /** Mean error of such forecasts. */
  readonly error: number;
}

/** Whether stages are forecast to complete within the `left` milliseconds that
 * the objective leaves for them. Stages that would take longer even without
 * queueing are held to that time instead: a retry would not help. */
export function meetsObjective(
  { finish, uncontended, error }: CalibratedForecast,
  { left, objective }: { left: number; objective: number },
): boolean {
  const tolerance = Math.min(
    TOLERATED_ERROR_RATIO * error,
    MAX_TOLERATED_OBJECTIVE_RATIO * objective,
  );
  return finish - Math.max(left, uncontended) <= tolerance;
}
