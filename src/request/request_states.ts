/** States of the requests in a host, by id.
 * @module */

import * as dispatchErrors from "./dispatch_error.ts";
import * as requestState from "./request_state.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** A request and the call in flight that an event refers to. */
export interface CurrentCall {
  state: requestState.RequestState;
  call: requestState.Call;
}

/** States of all requests without a final answer. */
export class RequestStates {
  readonly #states = new Map<string, requestState.RequestState>();
  #stale = 0;

  static create(): RequestStates {
    return new RequestStates();
  }

  get size(): number {
    return this.#states.size;
  }

  /** Number of events that referred to calls no longer in flight. */
  get stale(): number {
    return this.#stale;
  }

  add(arrived: request.Request, now: number): requestState.RequestState {
    if (this.#states.has(arrived.id)) {
      throw new dispatchErrors.DispatchError(
        `Request ${arrived.id} arrived twice`,
      );
    }
    const added = requestState.RequestState.create(arrived, now);
    this.#states.set(arrived.id, added);
    return added;
  }

  get(id: string): requestState.RequestState | undefined {
    return this.#states.get(id);
  }

  /** State of the request that a work item belongs to. */
  of({ request: { id } }: policySet.Work): requestState.RequestState {
    const found = this.#states.get(id);
    if (found !== undefined) return found;
    throw new dispatchErrors.DispatchError(
      `Request ${id} is queued but unknown`,
    );
  }

  /** The request and the call that an attempt refers to; undefined, and counted
   * as stale, when the call is no longer in flight. */
  current(attempt: request.Attempt): CurrentCall | undefined {
    const state = this.#states.get(attempt.request);
    const call = state?.find(attempt);
    if (state !== undefined && call !== undefined) {
      return { state, call };
    }
    this.#stale++;
    return undefined;
  }

  remove(ended: requestState.RequestState): void {
    ended.phase = "ended";
    this.#states.delete(ended.request.id);
  }

  dump(now: number): unknown {
    return [...this.#states.values()].map((each) => each.dump(now));
  }
}
