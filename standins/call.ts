/** One call to a stand-in, as its headers describe it.
 * @module */

import type * as http from "node:http";
import type * as faults from "./faults.ts";
import type * as server from "./server.ts";

/** A call by the system to an endpoint. */
export interface Call {
  /** Unique in one stand-in. */
  key: string;
  request: string;
  stage: string;
  attempt: string;
  /** Milliseconds left when it arrived. */
  deadline: number | undefined;
  priority: number;
  /** When it arrived, on the stand-in's clock. */
  at: number;
  incoming: server.Incoming;
  hit: faults.Hit;
}

/** Ids that an answer echoes. */
export type Echo = Pick<Call, "request" | "stage" | "attempt">;

/** Reads the headers of a call. */
export function read(
  incoming: server.Incoming,
  { key, at, hit }: Pick<Call, "key" | "at" | "hit">,
): Call {
  const { headers } = incoming;
  const deadline = Number(headers["x-deadline"]);
  return {
    key,
    request: header(headers, "x-request-id"),
    stage: header(headers, "x-stage"),
    attempt: header(headers, "x-attempt"),
    deadline: Number.isFinite(deadline) ? deadline : undefined,
    priority: Number(headers["x-priority"] ?? 0) || 0,
    at,
    incoming,
    hit,
  };
}

/** Id that the body of an answer carries. */
export function id({ request, stage, attempt }: Echo): string {
  return `${request}/${stage}/${attempt}`;
}

/** Headers that echo a call. */
export function echo(
  { request, stage, attempt }: Echo,
): Record<string, string> {
  return {
    "x-request-id": request,
    "x-stage": stage,
    "x-attempt": attempt,
  };
}

function header(headers: http.IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}
