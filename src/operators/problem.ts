/** Problem documents of the operators' API.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as request from "../request/mod.ts";

/** Status and title of each problem, by name. */
const problems = {
  "bad-request": { status: 400, title: "The request cannot be understood" },
  unauthorized: { status: 401, title: "No operator has this token" },
  forbidden: { status: 403, title: "The operator may not do this" },
  "not-found": { status: 404, title: "There is no such path" },
  "method-not-allowed": { status: 405, title: "The path has other methods" },
  conflict: { status: 409, title: "Another edit came first" },
  "body-too-large": { status: 413, title: "The body is too large" },
  refused: { status: 422, title: "The edit is not allowed" },
  internal: { status: 500, title: "The host failed" },
  "no-quorum": { status: 503, title: "The table cannot be changed now" },
  unknown: { status: 503, title: "The edit may have been applied" },
} as const;

/** Name of a problem, without its URN. */
export type Name = keyof typeof problems;

/** Additional members of a problem document. */
export interface Extension {
  outcome?: request.Outcome;
  /** The cell that a conflicting edit has already changed. */
  conflict?: table.Conflict;
  /** JSON pointer to the invalid value in the request body. */
  path?: string;
}

/** An RFC 9457 problem document. */
export interface Problem extends Extension {
  type: `urn:chicoryloft:problem:${Name}`;
  title: string;
  status: number;
  detail: string;
}

/** Thrown to answer an operator's call with a problem document. */
export class OperatorsError extends Error {
  override readonly name = "OperatorsError";
  readonly problem: Problem;

  constructor(name: Name, detail: string, extension: Extension = {}) {
    super(detail);
    const { status, title } = problems[name];
    const type = `urn:chicoryloft:problem:${name}` as const;
    this.problem = { type, title, status, detail, ...extension };
  }
}
