/** Retry policy: whether a request is called again after a failed call.
 * @module */

import * as configurations from "../configuration/mod.ts";
import type * as attempts from "./attempt.ts";
import * as refusals from "./refusal.ts";

/** Calls that no endpoint executed which are allowed beyond a route's
 * attempts. */
const EXTRA_NOT_RUN_CALLS = 2;

/** Calls of a request so far. */
export interface RetryHistory {
  /** Calls that may have been executed. */
  readonly runs: number;
  /** All calls. */
  readonly calls: number;
}

/** Whether a failed call is retried. */
export type RetryDecision =
  /** Retry if the retry budget allows it. */
  | "retry"
  /** Retry without using the budget: no endpoint has seen the failed call. */
  | "retry-free"
  | "stop";

/** Decides about a retry after a call without an answer. */
export function afterFailure(
  route: configurations.Route,
  failure: Extract<attempts.Outcome, { type: "failed" }>,
  { runs, calls }: RetryHistory,
): RetryDecision {
  const { cause, mayHaveRun } = failure;
  if (cause === "cancelled" || cause === "deadline") return "stop";
  if (calls >= route.attempts + EXTRA_NOT_RUN_CALLS) return "stop";
  // Nothing was written, so no endpoint has received the call.
  if (cause === "unreachable" || cause === "withheld") return "retry-free";
  if (!mayHaveRun) return "retry";
  const mayRetry = configurations.isIdempotent(route) && runs < route.attempts;
  return mayRetry ? "retry" : "stop";
}

/** Whether an endpoint's error answer is retried: for idempotent requests
 * another endpoint may succeed. Without the header that says so, a status such
 * as 429 does not show that the endpoint has not run the call. */
export function shouldRetryAnswer(
  route: configurations.Route,
  { status }: { status: number },
  { runs }: RetryHistory,
): boolean {
  const isError = status >= 500 || refusals.promisesNotRun(status);
  return isError && configurations.isIdempotent(route) &&
    runs < route.attempts;
}

/** Whether an endpoint's answer may reach the caller: the status of a call that
 * counts as run must not promise that a request which is not idempotent has not
 * run. */
export function mayRelayAnswer(
  route: configurations.Route,
  { status }: { status: number },
): boolean {
  return configurations.isIdempotent(route) || !refusals.promisesNotRun(status);
}
