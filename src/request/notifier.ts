/** Notifies policies and observers of dispatcher events.
 * @module */

import type * as event from "./event.ts";
import type * as requestState from "./request_state.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** How an attempt ended, apart from the data of its call. */
export interface CallEnd {
  result: policySet.AttemptReport["result"];
  usage?: request.Usage;
  failure?: request.Failure;
  now: number;
}

/** Calls the handlers of all observers that have one for an event. */
export class Notifier {
  readonly #observers: readonly policySet.Observer[];

  private constructor(observers: readonly policySet.Observer[]) {
    this.#observers = observers;
  }

  /** Notifies the policies of `set` and then `observers`. */
  static create(
    set: policySet.PolicySet,
    observers: readonly policySet.Observer[] = [],
  ): Notifier {
    const { queues, admission, choice, estimate, retries, hedge } = set;
    const parts = [queues, admission, choice, estimate, retries, hedge];
    // An object that implements several policies is notified once.
    return new Notifier([...new Set([...parts, ...observers])]);
  }

  policies(policies: event.Policies, now: number): void {
    for (const observer of this.#observers) observer.policies?.(policies, now);
  }

  endpoints(endpoints: readonly event.Endpoint[], now: number): void {
    for (const observer of this.#observers) {
      observer.endpoints?.(endpoints, now);
    }
  }

  load(id: string, load: event.Load, now: number): void {
    for (const observer of this.#observers) observer.load?.(id, load, now);
  }

  cache(change: event.Event & { type: "cache" }, now: number): void {
    for (const observer of this.#observers) observer.cache?.(change, now);
  }

  arrived(request: request.Request, now: number): void {
    for (const observer of this.#observers) observer.arrived?.(request, now);
  }

  admitted(request: request.Request, now: number): void {
    for (const observer of this.#observers) observer.admitted?.(request, now);
  }

  finished(
    ended: request.Request,
    ending: policySet.FinalState,
    now: number,
  ): void {
    for (const observer of this.#observers) {
      observer.finished?.(ended, ending, now);
    }
  }

  started(
    attempt: request.Attempt,
    work: policySet.Work,
    now: number,
  ): void {
    for (const observer of this.#observers) {
      observer.started?.(attempt, work, now);
    }
  }

  progressed(attempt: request.Attempt, received: number, now: number): void {
    for (const observer of this.#observers) {
      observer.progressed?.(attempt, received, now);
    }
  }

  ended(
    work: requestState.RequestState,
    call: requestState.Call,
    end: CallEnd,
  ): void {
    const { attempt } = call;
    const { now, result, usage, failure } = end;
    const elapsed = now - attempt.started;
    const report = { attempt, work, result, elapsed, usage, failure };
    for (const observer of this.#observers) observer.ended?.(report, now);
  }

  /** States of the observers that have a dump. */
  dump(now: number): unknown {
    return this.#observers.flatMap((observer) => observer.dump?.(now) ?? []);
  }
}
