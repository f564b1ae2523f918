/** A call to an endpoint, what it is given and what comes back.
 * @module */

import type * as request from "../request/request.ts";

/** What the handler of an endpoint kind is given. */
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

/** A call of a caller's that is passed on as it is. */
export interface PlainInput {
  type: "plain";
  method: string;
  /** Path and query, with a leading slash. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
}

/** A document as a retriever gives it. */
export interface Document {
  id: string;
  text: string;
  score: number;
}

/** Place of a document in a reranker's order. */
export interface Rank {
  /** Position among the documents that were asked about. */
  index: number;
  score: number;
}

/** What an answered call brings. */
export type Result =
  | { type: "engine" }
  | { type: "encoder"; embeddings: readonly (readonly number[])[] }
  | { type: "retriever"; documents: readonly Document[] }
  | { type: "reranker"; ranks: readonly Rank[] }
  | PlainResult;

/** An answer of a plain service, passed on as it is. */
export interface PlainResult {
  type: "plain";
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
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
  /** Milliseconds without a byte after which the connection is given up. */
  idleTimeout: number;
  input: Input;
}

/** Hears what becomes of a call: any progress, then one answer or failure. */
export interface Listener {
  /** The token at `offset`, counted from 0 over all attempts. */
  token(offset: number, text: string): void;
  answer(result: Result, usage: request.Usage): void;
  fail(failure: request.Failure): void;
}

/** An answer that can't be used. */
export class CallError extends Error {
  override readonly name = "CallError";
  readonly reason: request.FailureReason;

  constructor(reason: request.FailureReason, message: string) {
    super(message);
    this.reason = reason;
  }
}

/** Id that the body of an answer must carry. */
export function idOf({ attempt, stage }: Call): string {
  return `${attempt.request}/${stage}/${attempt.attempt}`;
}
