/** Replies to callers.
 * @module */

import type * as endpointCalls from "../endpoint_calls/call.ts";
import type * as effect from "./effect.ts";

/** One stage of an answered request. */
export interface StageRecord {
  name: string;
  service: string;
  endpoint: string;
  milliseconds: number;
  attempts: number;
}

/** Output of a pipeline. */
export interface Output {
  /** Present when the last stage generates text. */
  text?: string;
  /** Present when the pipeline ends with documents. */
  documents?: readonly string[];
  /** Present when the pipeline ends with an embedding. */
  embedding?: readonly number[];
}

/** Answer of a pipeline. */
export interface Answer {
  id: string;
  pipeline: string;
  output: Output;
  stages: readonly StageRecord[];
  usage: { inputTokens: number; outputTokens: number };
}

/** Receives the tokens of a request, then exactly one call of `complete`,
 * `pass` or `refuse`. */
export interface Reply {
  token(offset: number, text: string): void;
  complete(answer: Answer): void;
  /** Forwards the answer of a plain service. */
  pass(result: endpointCalls.PlainResult): void;
  refuse(problem: effect.Problem): void;
}
