/** Problems that a dispatcher gives up requests with.
 * @module */

import type * as effect from "./effect.ts";
import type * as flight from "./request_state.ts";
import type * as request from "./request.ts";

/** Milliseconds after which a caller should try again. */
const RETRY_AFTER = 1000;

/** This host takes no new requests. */
export function stopping(): effect.Problem {
  const detail = "This host is stopping and takes no new requests";
  const retryAfter = RETRY_AFTER;
  return { name: "stopping", outcome: "not-run", detail, retryAfter };
}

/** A request came after its deadline. */
export function deadlinePassed(outcome: request.Outcome): effect.Problem {
  const detail = "The deadline has passed";
  return { name: "deadline-passed", outcome, detail };
}

/** The deadline of a request passed in this host. */
export function expired(of: flight.RequestState): effect.Problem {
  const { outcome, request } = of;
  if (!request.idempotent && outcome !== "not-run") return lost(outcome);
  return { ...deadlinePassed(outcome), retryAfter: RETRY_AFTER };
}

/** What is left of a request takes longer than it has. */
export function deadlineUnreachable(outcome: request.Outcome): effect.Problem {
  const detail = "The request can't be finished within its deadline";
  return { name: "overloaded", outcome, detail, retryAfter: RETRY_AFTER };
}

/** A stage failed and may not, or may no more, be tried again. */
export function failed(
  of: flight.RequestState,
  failure: request.Failure,
): effect.Problem {
  const stage = of.request.stages[of.stage];
  const { outcome } = of;
  const { retryAfter = RETRY_AFTER, reason } = failure;
  if (reason === "deadline") return { ...deadlinePassed(outcome), retryAfter };
  const detail = `Stage ${stage.name} failed: ${reason}`;
  return { name: "stage-failed", outcome, detail, retryAfter };
}

/** A stage that may be dispatched only once failed. */
export function unrepeatable(
  of: flight.RequestState,
  failure: request.Failure,
): effect.Problem {
  const { outcome } = of;
  return outcome === "not-run" ? failed(of, failure) : lost(outcome);
}

/** The caller went away. */
export function abandoned(outcome: request.Outcome): effect.Problem {
  return { name: "abandoned", outcome, detail: "The caller went away" };
}

function lost(outcome: request.Outcome): effect.Problem {
  const detail = "The request may have run and is not repeated";
  return { name: "outcome-unknown", outcome, detail };
}
