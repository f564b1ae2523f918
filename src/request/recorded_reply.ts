/** A reply whose final answer is also stored for resends with the same key.
 * @module */

import type * as endpointCalls from "../endpoint_calls/call.ts";
import * as exchanges from "../endpoint_calls/exchange.ts";
import type * as effect from "./effect.ts";
import type * as pathOptions from "./path_options.ts";
import * as problem from "../callers/problem.ts";
import type * as reply from "./reply.ts";

/** Options of a recorded reply. */
export interface Options {
  id: string;
  /** Stores how the request ended; undefined when it did not run. */
  settle(settlement: pathOptions.Settlement | undefined): void;
}

/** Forwards to another reply and stores the final answer. */
export class RecordedReply implements reply.Reply {
  readonly #reply: reply.Reply;
  readonly #options: Options;

  private constructor(to: reply.Reply, options: Options) {
    this.#reply = to;
    this.#options = options;
  }

  static create(to: reply.Reply, options: Options): RecordedReply {
    return new RecordedReply(to, options);
  }

  token(offset: number, text: string): void {
    this.#reply.token(offset, text);
  }

  complete(answer: reply.Answer): void {
    this.#options.settle({
      status: 200,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(answer),
    });
    this.#reply.complete(answer);
  }

  /** An answer that states no end may be a part, which all resends would get for
   * the whole: only that the request ran is stored. */
  pass(result: endpointCalls.PlainResult): void {
    const { status, headers, framing } = result;
    const body = Buffer.from(result.body).toString();
    this.#options.settle(
      exchanges.isDelimited(framing)
        ? { status, headers: { ...headers }, body }
        : "not-kept",
    );
    this.#reply.pass(result);
  }

  refuse(refused: effect.Problem): void {
    const document = problem.documentOf(refused, this.#options.id);
    this.#options.settle(
      refused.outcome === "not-run" ? undefined : {
        status: document.status,
        headers: problem.headersOf(document),
        body: JSON.stringify(document),
      },
    );
    this.#reply.refuse(refused);
  }
}
