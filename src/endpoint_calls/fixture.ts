/** Calls of the project's own protocol, and parts of answers to them, for tests.
 * @module */

import type * as calls from "./call.ts";

/** Headers of an answer that belongs to `call`. */
export const ECHO = { "x-request-id": "r1", "x-stage": "s", "x-attempt": "1" };

/** Input of a call to each kind of endpoint. */
export const INPUTS: {
  [T in calls.Input["type"]]: calls.Input & { type: T };
} = {
  engine: { type: "engine", model: "m", prompt: "p", maxTokens: 5 },
  encoder: { type: "encoder", model: "m", texts: ["a", "b"] },
  retriever: { type: "retriever", embedding: [1], text: "t", top: 2 },
  reranker: { type: "reranker", query: "q", documents: ["a"], top: 1 },
  plain: {
    type: "plain",
    method: "POST",
    path: "/p",
    headers: {},
    body: Buffer.from("b"),
  },
};

/** A call to the endpoint at a base URL. */
export function call(
  url: string,
  fields: Partial<calls.Call> = {},
): calls.Call {
  return {
    attempt: {
      request: "r1",
      stage: 0,
      attempt: 1,
      endpoint: "e",
      started: 0,
      hedge: false,
      offset: 0,
    },
    stage: "s",
    url,
    deadline: 60_000,
    priority: 5,
    idleTimeout: 30_000,
    input: INPUTS.plain,
    ...fields,
  };
}

/** An event of an engine's stream with the token at `offset`. */
export function tokenEvent(
  offset: number,
  text: string,
  more: object = {},
): string {
  const choices = [{ index: 0, text, "finish_reason": null, ...more }];
  const body = { id: "r1/s/1", offset, choices, ...more };
  return `data: ${JSON.stringify(body)}\n\n`;
}
