/** Problems with which a dispatcher refuses requests.
 * @module */

import type * as effect from "./effect.ts";
import type * as requestState from "./request_state.ts";
import type * as request from "./request.ts";

/** Time after which a caller should retry. */
const RETRY_AFTER_MS = 1000;

/** The host is draining and accepts no new requests. */
export function stopping(): effect.Problem {
  const detail = "This host is stopping and takes no new requests";
  const retryAfter = RETRY_AFTER_MS;
  return { name: "stopping", outcome: "not-run", detail, retryAfter };
}

/** The deadline of a request has passed. */
export function deadlinePassed(outcome: request.Outcome): effect.Problem {
  const detail = "The deadline has passed";
  return { name: "deadline-passed", outcome, detail };
}

/** The deadline of a request passed while the host was handling it. */
export function expired(state: requestState.RequestState): effect.Problem {
  const { outcome, request } = state;
  if (!request.idempotent && outcome !== "not-run") {
    return outcomeUnknown(outcome);
  }
  return { ...deadlinePassed(outcome), retryAfter: RETRY_AFTER_MS };
}

/** The estimated remaining time of a request exceeds its deadline. */
export function deadlineUnreachable(outcome: request.Outcome): effect.Problem {
  const detail = "The request can't be finished within its deadline";
  return { name: "overloaded", outcome, detail, retryAfter: RETRY_AFTER_MS };
}

/** A stage failed and is not retried. */
export function failed(
  state: requestState.RequestState,
  failure: request.Failure,
): effect.Problem {
  const stage = state.request.stages[state.stage];
  const { outcome } = state;
  const { retryAfter = RETRY_AFTER_MS, reason } = failure;
  if (reason === "deadline") return { ...deadlinePassed(outcome), retryAfter };
  const detail = `Stage ${stage.name} failed: ${reason}`;
  return { name: "stage-failed", outcome, detail, retryAfter };
}

/** A stage of a request that is not idempotent failed. */
export function unrepeatable(
  state: requestState.RequestState,
  failure: request.Failure,
): effect.Problem {
  const { outcome } = state;
  return outcome === "not-run"
    ? failed(state, failure)
    : outcomeUnknown(outcome);
}

/** The caller has disconnected. */
export function abandoned(outcome: request.Outcome): effect.Problem {
  return { name: "abandoned", outcome, detail: "The caller went away" };
}

function outcomeUnknown(outcome: request.Outcome): effect.Problem {
  const detail = "The request may have run and is not repeated";
  return { name: "outcome-unknown", outcome, detail };
}
