/** Requests, attempts and failures as the dispatcher sees them, without
 * payloads.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";

/** Whether an endpoint ran a request or call. */
export type Outcome = "not-run" | "ran" | "unknown";

/** One stage of a request, taken from its pipeline. */
export interface Stage {
  name: string;
  service: string;
  kind: endpoint.EndpointKind;
  /** Limit of generated tokens; 0 for a stage that does not generate. */
  maxTokens: number;
}

/** A validated request. */
export interface Request {
  id: string;
  account: string;
  kind: string;
  /** Name of the pipeline, or of the plain service. */
  target: string;
  stages: readonly Stage[];
  /** Estimated size of the input in tokens. */
  size: number;
  /** Milliseconds of the host's monotonic clock. */
  arrived: number;
  /** Milliseconds of the host's monotonic clock. */
  deadline: number;
  /** False when each stage may be dispatched only once. */
  idempotent: boolean;
  /** Value of the `Idempotency-Key` header. */
  key?: string;
  streaming: boolean;
  /** Hashes of the prompt's prefix blocks, longest last. */
  prefix: readonly string[];
}

/** One call to one endpoint for one stage of a request. */
export interface Attempt {
  request: string;
  /** Position of the stage in the request. */
  stage: number;
  /** Number of the attempt within the stage, from 1. */
  attempt: number;
  endpoint: string;
  /** Milliseconds of the host's monotonic clock. */
  started: number;
  /** True for a hedge: a second call that races a slow first one. */
  hedge: boolean;
  /** Tokens already received, which a resumed stream skips. */
  offset: number;
}

/** Resource usage of an answered call. */
export interface Usage {
  inputTokens: number;
  outputTokens: number;
  cachedTokens: number;
  /** Milliseconds of slot time as the endpoint reports them. */
  engineTime: number;
}

/** Reason for which a call failed. */
export type FailureReason =
  | "refused"
  | "connection"
  | "silent"
  | "mismatch"
  | "broken-stream"
  | "error"
  /** The answer was ended, as it held too many bytes. */
  | "oversized"
  | "deadline";

/** Failure of a call, and whether the call ran. */
export interface Failure {
  reason: FailureReason;
  outcome: Outcome;
  /** Tokens received before the failure. */
  received: number;
  /** Milliseconds for which the endpoint asks for no retry. */
  retryAfter?: number;
}
