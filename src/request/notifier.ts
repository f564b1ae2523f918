/** Tells the parts of a policy set what happens.
 * @module */

import type * as event from "./event.ts";
import type * as flight from "./request_state.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";

/** How an attempt ended, less what the call itself says. */
export interface CallEnd {
  result: policySet.Report["result"];
  usage?: request.Usage;
  failure?: request.Failure;
  now: number;
}

/** Passes each notice on to the parts that have a handler for it. */
export class Notifier {
  readonly #parts: readonly policySet.Observer[];

  private constructor(parts: readonly policySet.Observer[]) {
    this.#parts = parts;
  }

  /** Tells the parts of `set`, and then `observers`. */
  static create(
    set: policySet.PolicySet,
    observers: readonly policySet.Observer[] = [],
  ): Notifier {
    const { queues, admission, choice, estimate, retries, hedge } = set;
    const parts = [queues, admission, choice, estimate, retries, hedge];
    // One object may play several parts and is still told once.
    return new Notifier([...new Set([...parts, ...observers])]);
  }

  policies(policies: event.Policies, now: number): void {
    for (const part of this.#parts) part.policies?.(policies, now);
  }

  endpoints(endpoints: readonly event.Endpoint[], now: number): void {
    for (const part of this.#parts) part.endpoints?.(endpoints, now);
  }

  load(id: string, load: event.Load, now: number): void {
    for (const part of this.#parts) part.load?.(id, load, now);
  }

  cache(change: event.Event & { type: "cache" }, now: number): void {
    for (const part of this.#parts) part.cache?.(change, now);
  }

  arrived(arrived: request.Request, now: number): void {
    for (const part of this.#parts) part.arrived?.(arrived, now);
  }

  admitted(arrived: request.Request, now: number): void {
    for (const part of this.#parts) part.admitted?.(arrived, now);
  }

  finished(
    ended: request.Request,
    ending: policySet.Ending,
    now: number,
  ): void {
    for (const part of this.#parts) part.finished?.(ended, ending, now);
  }

  started(
    attempt: request.Attempt,
    work: policySet.Work,
    now: number,
  ): void {
    for (const part of this.#parts) part.started?.(attempt, work, now);
  }

  progressed(attempt: request.Attempt, received: number, now: number): void {
    for (const part of this.#parts) part.progressed?.(attempt, received, now);
  }

  ended(work: flight.RequestState, call: flight.Call, end: CallEnd): void {
    const { attempt } = call;
    const { now, result, usage, failure } = end;
    const elapsed = now - attempt.started;
    const report = { attempt, work, result, elapsed, usage, failure };
    for (const part of this.#parts) part.ended?.(report, now);
  }

  /** State of the parts that show any. */
  dump(now: number): unknown {
    return this.#parts.flatMap((part) => part.dump?.(now) ?? []);
  }
}
