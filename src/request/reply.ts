/** What the shell tells a caller.
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

/** What a pipeline made. */
export interface Output {
  /** Present when the pipeline generates. */
  text?: string;
  /** Present when the pipeline ends with documents. */
  documents?: readonly string[];
  /** Present when the pipeline only encodes. */
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

/** Hears a request's tokens, then exactly one `complete`, `pass` or
 * `refuse`. */
export interface Reply {
  token(offset: number, text: string): void;
  complete(answer: Answer): void;
  /** Answer of a plain service. */
  pass(result: endpointCalls.PlainResult): void;
  refuse(problem: effect.Problem): void;
}
