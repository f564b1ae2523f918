/** Starts and ends the calls of requests, and accounts for slots.
 * @module */

import type * as effect from "./effect.ts";
import type * as fleet from "./fleet.ts";
import type * as flight from "./request_state.ts";
import type * as notifier from "./notifier.ts";
import type * as request from "./request.ts";

/** What it is made from. */
export interface Options {
  notifier: notifier.Notifier;
  priority(of: request.Request): number;
  emit(asked: effect.Effect): void;
  /** Told that a service has a free slot again. */
  freed(service: string): void;
}

/** Where a call goes. */
export interface Destination {
  pool: fleet.Pool;
  member: fleet.Member;
  hedge: boolean;
}

/** Calls that are out. */
export class Calls {
  readonly #options: Options;

  private constructor(options: Options) {
    this.#options = options;
  }

  static create(options: Options): Calls {
    return new Calls(options);
  }

  start(
    of: flight.RequestState,
    place: Destination,
    now: number,
  ): request.Attempt {
    const { notifier, priority, emit } = this.#options;
    const { pool, member, hedge } = place;
    const attempt: request.Attempt = {
      request: of.request.id,
      stage: of.stage,
      attempt: ++of.attempts,
      endpoint: member.endpoint.id,
      started: now,
      hedge,
      offset: of.received,
    };
    of.phase = "running";
    of.calls.push({ attempt, pool, member });
    pool.addCalls(member, 1);
    const { deadline } = of.request;
    emit({ type: "call", attempt, deadline, priority: priority(of.request) });
    notifier.started(attempt, of, now);
    return attempt;
  }

  answered(
    of: flight.RequestState,
    call: flight.Call,
    { usage, now }: { usage: request.Usage; now: number },
  ): void {
    this.#release(of, call, "ran");
    this.#options.notifier.ended(of, call, { result: "answered", usage, now });
  }

  failed(
    of: flight.RequestState,
    call: flight.Call,
    { failure, now }: { failure: request.Failure; now: number },
  ): void {
    this.#release(of, call, failure.outcome);
    of.fail(call.attempt.endpoint);
    of.received = Math.max(of.received, failure.received);
    this.#options.notifier.ended(of, call, { result: "failed", failure, now });
  }

  /** Cancels a call that hangs, which counts as a failure of its endpoint. */
  cancelHung(of: flight.RequestState, call: flight.Call, now: number): void {
    const { attempt } = call;
    this.#options.emit({ type: "cancel", attempt, hung: true });
    const { received } = of;
    const failure = { reason: "silent", outcome: "unknown", received } as const;
    this.failed(of, call, { failure, now });
  }

  /** Cancels all calls of a request but `kept`. */
  cancel(
    of: flight.RequestState,
    kept: flight.Call | undefined,
    now: number,
  ): void {
    const { emit, notifier } = this.#options;
    for (const call of of.calls) {
      if (call === kept) continue;
      this.#release(of, call, "unknown");
      emit({ type: "cancel", attempt: call.attempt });
      notifier.ended(of, call, { result: "cancelled", now });
    }
  }

  #release(
    of: flight.RequestState,
    call: flight.Call,
    outcome: request.Outcome,
  ): void {
    of.end(call, outcome);
    call.pool.addCalls(call.member, -1);
    this.#options.freed(call.pool.service);
  }
}
