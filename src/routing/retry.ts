/** Whether, where and when a failed call is made again.
 * @module */

import type * as request from "../request/request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as budget from "./extra_call_budget.ts";

/** What a decision about a failed call rests on. */
export interface FailedCall {
  attempt: request.Attempt;
  failure: request.Failure;
  idempotent: boolean;
  /** Milliseconds of the host's monotonic clock. */
  deadline: number;
  /** Milliseconds that another call is expected to take. */
  estimate: number;
  /** Whether an endpoint other than the failed one can be chosen. */
  others: boolean;
}

/** Why a failed call is not made again. */
export type GiveUpReason =
  | "may-have-run"
  | "too-many-attempts"
  | "deadline"
  | "budget";

/** What becomes of a failed call. */
export type Decision =
  | {
    type: "retry";
    /** Milliseconds of the host's monotonic clock. */
    at: number;
    /** Endpoint that is not chosen again, where another exists. */
    avoid: string | undefined;
    /** Tokens that the repeated call skips. */
    offset: number;
  }
  | {
    type: "give-up";
    reason: GiveUpReason;
    outcome: request.Outcome;
    /** Milliseconds after which the caller may come back. */
    retryAfter: number | undefined;
  };

/** Calls of one stage at most, hedges not counted. */
const MOST_ATTEMPTS = 4;
/** Milliseconds before the second attempt, doubled for each further one. */
const BACKOFF = 10;
/** Milliseconds a backoff grows to at most. */
const MOST_BACKOFF = 1000;

/** Sources that a decision draws on. */
export interface Dependencies {
  budget: Pick<budget.ExtraCallBudget, "take">;
  random: runtime.Random;
  now: number;
}

/** Decides what becomes of a failed call; takes from the budget for a retry.
 * A call that is given up gets its final answer at once. */
export function decide(call: FailedCall, sources: Dependencies): Decision {
  const { attempt, failure } = call;
  if (!isRetryable(call)) return giveUp(call, "may-have-run");
  if (attempt.attempt >= MOST_ATTEMPTS) {
    return giveUp(call, "too-many-attempts");
  }
  const at = sources.now + delay(call, sources.random);
  if (at + call.estimate > call.deadline) return giveUp(call, "deadline");
  if (!sources.budget.take(sources.now)) return giveUp(call, "budget");
  const avoid = call.others ? attempt.endpoint : undefined;
  return { type: "retry", at, avoid, offset: resumeOffset(attempt, failure) };
}

/** Whether a second call cannot run the work twice where that matters. */
export function isRetryable(
  call: Pick<FailedCall, "idempotent" | "failure">,
): boolean {
  return call.idempotent || call.failure.outcome === "not-run";
}

/** Tokens delivered so far, which a resumed stream skips. */
export function resumeOffset(
  attempt: request.Attempt,
  failure: Pick<request.Failure, "received">,
): number {
  return attempt.offset + failure.received;
}

/** Milliseconds to wait: full jitter, and as long as the endpoint asked when
 * no other can be chosen. */
function delay(call: FailedCall, random: runtime.Random): number {
  const doubled = BACKOFF * 2 ** (call.attempt.attempt - 1);
  const jittered = random.next() * Math.min(MOST_BACKOFF, doubled);
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
