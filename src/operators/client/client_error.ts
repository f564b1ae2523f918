/** Errors of the operators' client, and their exit codes.
 * @module */

import type * as problem from "../problem.ts";

/** Exit codes of the command line; see docs/OPERATING.md. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
} as const;

/** Why a command failed. */
export type Failure = Exclude<keyof typeof exitCodes, "ok">;

/** Thrown when an operator's command fails. */
export class ClientError extends Error {
  override readonly name = "ClientError";
  readonly failure: Failure;
  /** Problem document in the host's response, if any. */
  readonly problem?: problem.Problem;

  constructor(failure: Failure, message: string, options: Options = {}) {
    super(message, { cause: options.cause });
    this.failure = failure;
    this.problem = options.problem;
  }
}

interface Options {
  cause?: unknown;
  problem?: problem.Problem;
}

/** Converts a problem document into an error. */
export function fromProblem(problem: problem.Problem): ClientError {
  const failure = failures[problem.status] ?? "failed";
  const message = `${problem.title}: ${problem.detail}`;
  return new ClientError(failure, message, { problem });
}

const failures: Record<number, Failure> = {
  409: "conflict",
  503: "unavailable",
};
