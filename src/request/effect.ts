/** Effects that the dispatcher returns and the executor performs.
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

/** Reason for which a request is refused. */
export interface Problem {
  name: ProblemName;
  outcome: request.Outcome;
  detail: string;
  /** Milliseconds after which a retry can help. */
  retryAfter?: number;
}

/** One effect of a dispatcher. */
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
    /** Set when the call is cancelled because it hangs. */
    hung?: true;
  }
  | { type: "complete"; request: string }
  | { type: "refuse"; request: string; problem: Problem }
  | { type: "wake"; at: number };
