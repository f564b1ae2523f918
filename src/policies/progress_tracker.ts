/** Tracks the gaps between progress events of running calls.
 * @module */

import type * as request from "../request/mod.ts";

/** The service and input size of a call. */
export interface CallTarget {
  service: string;
  /** Input size in tokens. */
  size: number;
}

/** The gap before a progress event. */
export interface ProgressGap extends CallTarget {
  ms: number;
  /** Whether this is the first progress event of the call. */
  first: boolean;
}

interface CallProgress extends CallTarget {
  attempt: number;
  at: number;
  first: boolean;
}

/** The last call of each request. Mutable. */
export class ProgressTracker {
  readonly #calls = new Map<string, CallProgress>();

  static create(): ProgressTracker {
    return new ProgressTracker();
  }

  start(
    { request, attempt }: request.Attempt,
    target: CallTarget,
    now: number,
  ) {
    this.#calls.set(request, { ...target, attempt, at: now, first: true });
  }

  /** Returns the gap that a progress event ends; undefined if the event is of
   * an earlier call. */
  progress(attempt: request.Attempt, now: number): ProgressGap | undefined {
    const call = this.#calls.get(attempt.request);
    if (call?.attempt !== attempt.attempt) return undefined;
    const { service, size, at, first } = call;
    call.at = now;
    call.first = false;
    return { service, size, ms: now - at, first };
  }

  /** Removes a request that has ended. */
  forget(request: string): void {
    this.#calls.delete(request);
  }
}
