/** Whether a request is sent once more after a call that failed.
 * @module */

import * as configurations from "../configuration/mod.ts";
import type * as attempt from "./attempt.ts";

/** Sends beyond a route's attempts that endpoints have not run. */
const NOT_RUN_SENDS = 2;

/** What a request has been through. */
export interface RetryHistory {
  /** Calls that may have run. */
  readonly runs: number;
  /** Calls in all. */
  readonly sends: number;
}

/** What may follow on a failed call. */
export type RetryDecision =
  /** Another call, if the budget allows it. */
  | "again"
  /** Another call that no endpoint counts as a repeat. */
  | "again-free"
  | "over";

/** Judges a call that gave no answer. */
export function afterFailure(
  route: configurations.Route,
  failure: Extract<attempt.Outcome, { type: "failed" }>,
  { runs, sends }: RetryHistory,
): RetryDecision {
  const { cause, mayHaveRun } = failure;
  if (cause === "cancelled" || cause === "deadline") return "over";
  if (sends >= route.attempts + NOT_RUN_SENDS) return "over";
  // Nothing was written: the endpoint has heard of no call.
  if (cause === "unreachable") return "again-free";
  if (!mayHaveRun) return "again";
  const mayRepeat = configurations.isIdempotent(route) && runs < route.attempts;
  return mayRepeat ? "again" : "over";
}

/** Whether an endpoint's own failure is worth another call: of work that may
 * be repeated, another endpoint may do better. */
export function shouldRetryAnswer(
  route: configurations.Route,
  { status }: { status: number },
  { runs }: RetryHistory,
): boolean {
  return status >= 500 && configurations.isIdempotent(route) &&
    runs < route.attempts;
}
