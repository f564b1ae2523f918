/** Interface of the handlers for the kinds of endpoints.
 * @module */

import type * as call from "./call.ts";
import type * as exchange from "./exchange.ts";
import type * as request from "../request/request.ts";

/** Head of an answer. */
export interface Head {
  status: number;
  headers: exchange.Headers;
  framing: exchange.Framing;
}

/** Result and usage of a complete answer. */
export interface ParsedAnswer {
  result: call.Result;
  usage: request.Usage;
}

/** Incremental reader of an answer's body. */
export interface Reader {
  /** Bytes of memory that it holds of the answer; none when absent. */
  readonly heldBytes?: number;
  feed(chunk: Buffer): void;
  /** Throws a `CallError` when the answer is incomplete or belongs to another
   * call. */
  end(): ParsedAnswer;
}

/** Receives each token of a stream. */
export type TakeToken = call.Listener["token"];

/** Builds requests and reads answers for one kind of endpoint. */
export interface Handler<I extends call.Input = call.Input> {
  /** Builds a request without the headers common to all calls. */
  build(input: I, call: call.Call): exchange.OutgoingRequest;
  createReader(call: call.Call, head: Head, onToken: TakeToken): Reader;
  /** Whether answers with a status other than 2xx are valid. */
  acceptsAnyStatus?: boolean;
}
