/** Pauses between the signs of progress of calls that are out.
 * @module */

import type * as request from "../request/mod.ts";

/** Where a call went, and how much it takes in. */
export interface CallTarget {
  service: string;
  /** Tokens of input. */
  size: number;
}

/** A pause that a sign of progress ended. */
export interface ProgressGap extends CallTarget {
  ms: number;
  /** Whether this was the call's first sign of progress. */
  first: boolean;
}

interface Pace extends CallTarget {
  attempt: number;
  at: number;
  first: boolean;
}

/** The last call of each request; changed in place. */
export class ProgressTracker {
  readonly #paces = new Map<string, Pace>();

  static create(): ProgressTracker {
    return new ProgressTracker();
  }

  start({ request, attempt }: request.Attempt, place: CallTarget, now: number) {
    this.#paces.set(request, { ...place, attempt, at: now, first: true });
  }

  /** Returns the pause that ends; undefined for an earlier call's. */
  progress(of: request.Attempt, now: number): ProgressGap | undefined {
    const pace = this.#paces.get(of.request);
    if (pace?.attempt !== of.attempt) return undefined;
    const { service, size, at, first } = pace;
    pace.at = now;
    pace.first = false;
    return { service, size, ms: now - at, first };
  }

  /** Forgets a request that ended. */
  forget(request: string): void {
    this.#paces.delete(request);
  }
}
