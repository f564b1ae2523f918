/** Calls to endpoints, with their inputs and results.
 * @module */

import type * as request from "../request/request.ts";
import type * as exchange from "./exchange.ts";

/** Input of a call, by kind of endpoint. */
export type Input =
  | { type: "engine"; model: string; prompt: string; maxTokens: number }
  | { type: "encoder"; model: string; texts: readonly string[] }
  | {
    type: "retriever";
    embedding: readonly number[];
    text: string;
    top: number;
  }
  | {
    type: "reranker";
    query: string;
    documents: readonly string[];
    top: number;
  }
  | PlainInput;

/** A caller's HTTP request that is forwarded to a plain service. */
export interface PlainInput {
  type: "plain";
  method: string;
  /** Path and query, with a leading slash. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  /** Set if the answer fails unless it states its end: whoever reads its result
   * can't be told. */
  needsStatedEnd?: true;
}

/** A document that a retriever returned. */
export interface Document {
  id: string;
  text: string;
  score: number;
}

/** Score of a document by a reranker. */
export interface Rank {
  /** Index of the document in the input. */
  index: number;
  score: number;
}

/** Result of a call, by kind of endpoint. */
export type Result =
  | { type: "engine" }
  | { type: "encoder"; embeddings: readonly (readonly number[])[] }
  | { type: "retriever"; documents: readonly Document[] }
  | { type: "reranker"; ranks: readonly Rank[] }
  | PlainResult;

/** HTTP answer of a plain service, forwarded to the caller. */
export interface PlainResult {
  type: "plain";
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  /** What marked the end of the answer. */
  framing: exchange.Framing;
}

/** One call to one endpoint. */
export interface Call {
  attempt: request.Attempt;
  /** Name of the stage. */
  stage: string;
  /** Base URL of the endpoint. */
  url: string;
  /** Milliseconds of the host's monotonic clock. */
  deadline: number;
  priority: number;
  /** Milliseconds without a byte after which the call fails. */
  idleTimeout: number;
  input: Input;
}

/** Receives the tokens of a call, then one answer or failure. */
export interface Listener {
  /** Receives the token at `offset`, counted from 0 over all attempts. */
  token(offset: number, text: string): void;
  answer(result: Result, usage: request.Usage): void;
  fail(failure: request.Failure): void;
}

/** Error for an invalid answer. */
export class CallError extends Error {
  override readonly name = "CallError";
  readonly reason: request.FailureReason;

  constructor(reason: request.FailureReason, message: string) {
    super(message);
    this.reason = reason;
  }
}

/** Id of a call, which the body of its answer must repeat. */
export function idOf({ attempt, stage }: Call): string {
  return `${attempt.request}/${stage}/${attempt.attempt}`;
}
