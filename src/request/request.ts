/** What the dispatcher knows of a request; payloads stay in the shell.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";

/** Whether a request, or a call, was run at an endpoint. */
export type Outcome = "not-run" | "ran" | "unknown";

/** One stage of a request, taken from its pipeline. */
export interface Stage {
  name: string;
  service: string;
  kind: endpoint.EndpointKind;
  /** Most tokens it may generate; 0 where it generates none. */
  maxTokens: number;
}

/** A request as it arrived, checked. */
export interface Request {
  id: string;
  account: string;
  kind: string;
  /** Name of the pipeline, or of the plain service. */
  target: string;
  stages: readonly Stage[];
  /** Size of the input in tokens, estimated. */
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
  /** Counts the attempts of this stage from 1. */
  attempt: number;
  endpoint: string;
  /** Milliseconds of the host's monotonic clock. */
  started: number;
  /** True for a second call raced against a slow first one. */
  hedge: boolean;
  /** Tokens already delivered, which a resumed stream skips. */
  offset: number;
}

/** What an answered call used. */
export interface Usage {
  inputTokens: number;
  outputTokens: number;
  cachedTokens: number;
  /** Milliseconds of an endpoint slot, as the endpoint reports them. */
  engineTime: number;
}

/** Why a call failed. */
export type FailureReason =
  | "refused"
  | "connection"
  | "silent"
  | "mismatch"
  | "broken-stream"
  | "error"
  | "deadline";

/** A failed call and what is known of its effect. */
export interface Failure {
  reason: FailureReason;
  outcome: Outcome;
  /** Tokens received before the failure. */
  received: number;
  /** Milliseconds the endpoint asked to be left alone. */
  retryAfter?: number;
}
