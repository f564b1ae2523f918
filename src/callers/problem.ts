/** Problem documents (RFC 9457) that callers receive.
 * @module */

import type * as request from "../request/mod.ts";

/** Error that refuses a request before it reaches the dispatcher. */
export class CallerError extends Error {
  override readonly name = "CallerError";
  readonly problem: request.Problem;

  constructor(problem: request.ProblemName, detail: string) {
    super(detail);
    this.problem = { name: problem, outcome: "not-run", detail };
  }
}

/** A problem document. */
export interface ProblemDocument {
  type: string;
  title: string;
  status: number;
  detail: string;
  /** Id of the request, if one was assigned. */
  request?: string;
  outcome: request.Outcome;
  /** Milliseconds after which a retry can help. */
  retryAfter?: number;
}

interface ProblemClass {
  status: number;
  title: string;
}

const problemClasses: Record<request.ProblemName, ProblemClass> = {
  "bad-request": { status: 400, title: "The request is malformed" },
  "body-too-large": { status: 413, title: "The body is too large" },
  unauthorized: { status: 401, title: "The token is missing or wrong" },
  "unknown-pipeline": { status: 404, title: "There is no such pipeline" },
  "unknown-service": { status: 404, title: "There is no such service" },
  "deadline-passed": { status: 504, title: "The deadline has passed" },
  overloaded: { status: 503, title: "The system is overloaded" },
  "rate-limited": { status: 429, title: "A limit is reached" },
  "no-endpoint": { status: 503, title: "No endpoint is ready" },
  "stage-failed": { status: 502, title: "A stage failed" },
  "outcome-unknown": { status: 502, title: "The outcome is unknown" },
  "claim-refused": { status: 503, title: "The key can't be claimed" },
  "in-progress": { status: 409, title: "The request is running" },
  stopping: { status: 503, title: "The host is stopping" },
  abandoned: { status: 499, title: "The caller went away" },
};

const MS_PER_SECOND = 1000;

/** Creates the document of a problem. */
export function documentOf(
  problem: request.Problem,
  id?: string,
): ProblemDocument {
  const { name, outcome, detail, retryAfter } = problem;
  const { status, title } = problemClasses[name];
  return {
    type: `urn:chicoryloft:problem:${name}`,
    title,
    status,
    detail,
    request: id,
    outcome,
    retryAfter,
  };
}

/** Headers of the answer with a problem document. */
export function headersOf(
  document: ProblemDocument,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (document.status === 401) headers["www-authenticate"] = "Bearer";
  if (document.retryAfter !== undefined) {
    const seconds = Math.ceil(document.retryAfter / MS_PER_SECOND);
    headers["retry-after"] = String(Math.max(1, seconds));
  }
  return headers;
}
