/** Retry policy: decides whether, where and when a failed call is retried.
 * @module */

import type * as request from "../request/request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as extraCallBudget from "./extra_call_budget.ts";

/** A failed call for which a retry is decided. */
export interface FailedCall {
  attempt: request.Attempt;
  failure: request.Failure;
  idempotent: boolean;
  /** Milliseconds of the host's monotonic clock. */
  deadline: number;
  /** Expected time of another call, milliseconds. */
  estimate: number;
  /** Whether an endpoint other than the failed one can be chosen. */
  others: boolean;
}

/** Reason for which a failed call is not retried. */
export type GiveUpReason =
  | "may-have-run"
  | "too-many-attempts"
  | "deadline"
  | "budget";

/** Decision about a failed call. */
export type Decision =
  | {
    type: "retry";
    /** Time of the retry, milliseconds of the host's monotonic clock. */
    at: number;
    /** Failed endpoint, to be avoided; undefined when no other exists. */
    avoid: string | undefined;
    /** Number of tokens that the retry skips. */
    offset: number;
  }
  | {
    type: "give-up";
    reason: GiveUpReason;
    outcome: request.Outcome;
    /** Milliseconds after which the caller may retry. */
    retryAfter: number | undefined;
  };

/** Maximum number of calls of one stage, hedges not counted. */
const MAX_ATTEMPTS = 4;
/** Backoff before the second attempt, doubled for each further one. */
const INITIAL_BACKOFF_MS = 10;
/** Maximum backoff. */
const MAX_BACKOFF_MS = 1000;

/** Budget, randomness and time that a decision uses. */
export interface Dependencies {
  budget: Pick<extraCallBudget.ExtraCallBudget, "take">;
  random: runtime.Random;
  now: number;
}

/** Decides whether a failed call is retried; a retry is taken from the budget.
 * A call that is given up is answered at once. */
export function decide(call: FailedCall, deps: Dependencies): Decision {
  const { attempt, failure } = call;
  if (!isRetryable(call)) return giveUp(call, "may-have-run");
  if (attempt.attempt >= MAX_ATTEMPTS) {
    return giveUp(call, "too-many-attempts");
  }
  const at = deps.now + delay(call, deps.random);
  if (at + call.estimate > call.deadline) return giveUp(call, "deadline");
  if (!deps.budget.take(deps.now)) return giveUp(call, "budget");
  const avoid = call.others ? attempt.endpoint : undefined;
  return { type: "retry", at, avoid, offset: resumeOffset(attempt, failure) };
}

/** Whether a retry is safe: the call is idempotent or has not run. */
export function isRetryable(
  call: Pick<FailedCall, "idempotent" | "failure">,
): boolean {
  return call.idempotent || call.failure.outcome === "not-run";
}

/** Number of tokens delivered so far, which a resumed stream skips. */
export function resumeOffset(
  attempt: request.Attempt,
  failure: Pick<request.Failure, "received">,
): number {
  return attempt.offset + failure.received;
}

/** Delay before a retry: exponential backoff with full jitter, plus the
 * endpoint's `retryAfter` when no other endpoint can be chosen. */
function delay(call: FailedCall, random: runtime.Random): number {
  const doubled = INITIAL_BACKOFF_MS * 2 ** (call.attempt.attempt - 1);
  const jittered = random.next() * Math.min(MAX_BACKOFF_MS, doubled);
  if (call.others) return jittered;
  return jittered + (call.failure.retryAfter ?? 0);
}

function giveUp(call: FailedCall, reason: GiveUpReason): Decision {
  return {
    type: "give-up",
    reason,
    outcome: call.failure.outcome,
    retryAfter: call.failure.retryAfter,
  };
}
