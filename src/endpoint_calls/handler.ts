/** What differs between the kinds of endpoints.
 * @module */

import type * as call from "./call.ts";
import type * as exchange from "./exchange.ts";
import type * as request from "../request/request.ts";

/** Head of an answer. */
export interface Head {
  status: number;
  headers: exchange.Headers;
}

/** A whole answer, read. */
export interface ParsedAnswer {
  result: call.Result;
  usage: request.Usage;
}

/** Takes the body of an answer as it comes. */
export interface Reader {
  feed(chunk: Buffer): void;
  /** Throws a `CallError` when the answer is not whole or not ours. */
  end(): ParsedAnswer;
}

/** Takes a token as it comes. */
export type TakeToken = call.Listener["token"];

/** Talks to one kind of endpoint. */
export interface Handler<I extends call.Input = call.Input> {
  /** What is sent, less the headers that every call carries. */
  build(input: I, made: call.Call): exchange.OutgoingRequest;
  createReader(made: call.Call, head: Head, token: TakeToken): Reader;
  /** Whether a status other than 2xx is an answer like any other. */
  acceptsAnyStatus?: boolean;
}
