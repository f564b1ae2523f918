/** Limits of a call to an endpoint: its priority, remaining time and idle
 * timeout.
 * @module */

import * as configurations from "../configuration/mod.ts";
import * as timeliness from "./timeliness.ts";

/** Urgency of the highest rank: lower values are reserved for work more urgent
 * than any caller's request. */
const HIGHEST_URGENCY = 2;
const LOWEST_URGENCY = 9;
/** Idle timeout of an idempotent call, as a multiple of the route's objective:
 * a later answer has little value, and another endpoint may still give one. */
const IDLE_TIMEOUT_OBJECTIVE_COUNT = 2;
/** Least idle timeout, in milliseconds. */
const MIN_IDLE_TIMEOUT_MS = 800;
/** Least remaining milliseconds that an endpoint is given. */
const MIN_REMAINING_TIME_MS = 5;

/** Milliseconds without an event after which a stream is resumed on another
 * endpoint: callers abandon it after two seconds. */
export const EVENT_IDLE_TIMEOUT_MS = 1200;

/** Urgency of a call for a request's rank; 0 is the most urgent. */
export function urgencyOf(rank: number, isLate: boolean): number {
  const urgency = HIGHEST_URGENCY + timeliness.effectiveRank(rank, isLate);
  return Math.min(LOWEST_URGENCY, urgency);
}

/** Whole milliseconds from `now` until a request's deadline. */
export function remainingTime(deadline: number, now: number): number {
  return Math.max(MIN_REMAINING_TIME_MS, Math.floor(deadline - now));
}

/** Idle timeout of a route's calls, in milliseconds. A non-idempotent call has
 * none: it could not be retried. */
export function idleTimeoutOf(
  route: configurations.Route,
  isStreaming: boolean,
): number {
  if (!configurations.isIdempotent(route)) return Infinity;
  if (isStreaming) return EVENT_IDLE_TIMEOUT_MS;
  return Math.max(
    MIN_IDLE_TIMEOUT_MS,
    IDLE_TIMEOUT_OBJECTIVE_COUNT * route.objective,
  );
}
