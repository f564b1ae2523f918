/** What a call to an endpoint is given: how urgent it is, how long it has, how
 * long it may be silent.
 * @module */

import * as configurations from "../configuration/mod.ts";
import * as prospects from "./timeliness.ts";

/** Urgency of the highest rank: below it there is room for what is more urgent
 * than any request of a caller. */
const FIRST_URGENCY = 2;
const LAST_URGENCY = 9;
/** Milliseconds without a byte after which a repeatable call is given up, as
 * multiples of the route's objective; an answer later than that earns little,
 * and another endpoint may still give one. */
const SILENCE_OBJECTIVES = 2;
/** Least of these milliseconds. */
const LEAST_SILENCE = 800;
/** Least milliseconds left for a call to be worth sending. */
const LEAST_LEFT = 5;

/** Milliseconds between events after which a stream goes on elsewhere: callers
 * leave after two seconds. */
export const EVENT_IDLE_TIMEOUT_MS = 1200;

/** Urgency of a request of a rank. */
export function urgencyOf(rank: number, isLate: boolean): number {
  const urgency = FIRST_URGENCY + prospects.effectiveRank(rank, isLate);
  return Math.min(LAST_URGENCY, urgency);
}

/** Whole milliseconds that a call has until a request ends. */
export function remainingTime(until: number, now: number): number {
  return Math.max(LEAST_LEFT, Math.floor(until - now));
}

/** Milliseconds without a byte that a call of a route is given. Work that must
 * not be repeated is waited for: silence is no reason to end it. */
export function idleTimeoutOf(
  route: configurations.Route,
  isStreaming: boolean,
): number {
  if (!configurations.isIdempotent(route)) return Infinity;
  if (isStreaming) return EVENT_IDLE_TIMEOUT_MS;
  return Math.max(LEAST_SILENCE, SILENCE_OBJECTIVES * route.objective);
}
