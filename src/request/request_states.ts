/** Requests in a host by id.
 * @module */

import * as errors from "./dispatch_error.ts";
import * as flight from "./request_state.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** A request with the call that an event is about. */
export interface CurrentCall {
  state: flight.RequestState;
  call: flight.Call;
}

/** All requests without a final answer. */
export class RequestStates {
  readonly #flights = new Map<string, flight.RequestState>();
  #stale = 0;

  static create(): RequestStates {
    return new RequestStates();
  }

  get size(): number {
    return this.#flights.size;
  }

  /** Events about calls that were no longer current. */
  get stale(): number {
    return this.#stale;
  }

  add(arrived: request.Request, now: number): flight.RequestState {
    if (this.#flights.has(arrived.id)) {
      throw new errors.DispatchError(`Request ${arrived.id} arrived twice`);
    }
    const added = flight.RequestState.create(arrived, now);
    this.#flights.set(arrived.id, added);
    return added;
  }

  get(id: string): flight.RequestState | undefined {
    return this.#flights.get(id);
  }

  /** The request that a piece of work belongs to. */
  of({ request: { id } }: policySet.Work): flight.RequestState {
    const found = this.#flights.get(id);
    if (found !== undefined) return found;
    throw new errors.DispatchError(`Request ${id} is queued but unknown`);
  }

  /** The request and the call that an event is about, while current. */
  current(attempt: request.Attempt): CurrentCall | undefined {
    const owner = this.#flights.get(attempt.request);
    const call = owner?.find(attempt);
    if (owner !== undefined && call !== undefined) {
      return { state: owner, call };
    }
    this.#stale++;
    return undefined;
  }

  remove(ended: flight.RequestState): void {
    ended.phase = "ended";
    this.#flights.delete(ended.request.id);
  }

  dump(now: number): unknown {
    return [...this.#flights.values()].map((each) => each.dump(now));
  }
}
