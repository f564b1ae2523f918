/** Effects that the dispatcher asks its shell for.
 * @module */

import type * as request from "./request.ts";

/** Names of problem documents; see docs/INTERFACES.md. */
export type ProblemName =
  | "bad-request"
  | "body-too-large"
  | "unauthorized"
  | "unknown-pipeline"
  | "unknown-service"
  | "deadline-passed"
  | "overloaded"
  | "rate-limited"
  | "no-endpoint"
  | "stage-failed"
  | "outcome-unknown"
  | "claim-refused"
  | "in-progress"
  | "stopping"
  | "abandoned";

/** Why a request gets no answer. */
export interface Problem {
  name: ProblemName;
  outcome: request.Outcome;
  detail: string;
  /** Milliseconds after which a retry can help. */
  retryAfter?: number;
}

/** What a dispatcher asks for. */
export type Effect =
  | {
    type: "call";
    attempt: request.Attempt;
    /** Milliseconds of the host's monotonic clock. */
    deadline: number;
    priority: number;
  }
  | {
    type: "cancel";
    attempt: request.Attempt;
    /** Set when the call is given up since it hangs. */
    hung?: true;
  }
  | { type: "complete"; request: string }
  | { type: "refuse"; request: string; problem: Problem }
  | { type: "wake"; at: number };
