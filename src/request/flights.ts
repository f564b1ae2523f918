/** Requests in a host by id.
 * @module */

import * as errors from "./dispatch_error.ts";
import * as flight from "./flight.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** A request with the call that an event is about. */
export interface Current {
  owner: flight.Flight;
  call: flight.Call;
}

/** All requests without a final answer. */
export class Flights {
  readonly #flights = new Map<string, flight.Flight>();
  #stale = 0;

  static create(): Flights {
    return new Flights();
  }

  get size(): number {
    return this.#flights.size;
  }

  /** Events about calls that were no longer current. */
  get stale(): number {
    return this.#stale;
  }

  add(arrived: request.Request, now: number): flight.Flight {
    if (this.#flights.has(arrived.id)) {
      throw new errors.DispatchError(`Request ${arrived.id} arrived twice`);
    }
    const added = flight.Flight.create(arrived, now);
    this.#flights.set(arrived.id, added);
    return added;
  }

  get(id: string): flight.Flight | undefined {
    return this.#flights.get(id);
  }

  /** The request that a piece of work belongs to. */
  of({ request: { id } }: policySet.Work): flight.Flight {
    const found = this.#flights.get(id);
    if (found !== undefined) return found;
    throw new errors.DispatchError(`Request ${id} is queued but unknown`);
  }

  /** The request and the call that an event is about, while current. */
  current(attempt: request.Attempt): Current | undefined {
    const owner = this.#flights.get(attempt.request);
    const call = owner?.find(attempt);
    if (owner !== undefined && call !== undefined) return { owner, call };
    this.#stale++;
    return undefined;
  }

  remove(ended: flight.Flight): void {
    ended.phase = "ended";
    this.#flights.delete(ended.request.id);
  }

  dump(now: number): unknown {
    return [...this.#flights.values()].map((each) => each.dump(now));
  }
}
