/** Starts and ends calls of requests, and keeps the slot counts of endpoints.
 * @module */

import type * as effect from "./effect.ts";
import type * as fleet from "./fleet.ts";
import type * as requestState from "./request_state.ts";
import type * as notifier from "./notifier.ts";
import type * as request from "./request.ts";

/** Dependencies of `Calls`. */
export interface Options {
  notifier: notifier.Notifier;
  priority(request: request.Request): number;
  emit(effect: effect.Effect): void;
  /** Called when a slot of a service becomes free. */
  onSlotFreed(service: string): void;
}

/** Endpoint that a call is sent to. */
export interface Destination {
  pool: fleet.Pool;
  member: fleet.Member;
  hedge: boolean;
}

/** Calls in flight of all requests. */
export class Calls {
  readonly #options: Options;

  private constructor(options: Options) {
    this.#options = options;
  }

  static create(options: Options): Calls {
    return new Calls(options);
  }

  start(
    state: requestState.RequestState,
    destination: Destination,
    now: number,
  ): request.Attempt {
    const { notifier, priority, emit } = this.#options;
    const { pool, member, hedge } = destination;
    const attempt: request.Attempt = {
      request: state.request.id,
      stage: state.stage,
      attempt: ++state.attempts,
      endpoint: member.endpoint.id,
      started: now,
      hedge,
      offset: state.received,
    };
    state.phase = "running";
    state.calls.push({ attempt, pool, member });
    pool.addCalls(member, 1);
    const { deadline } = state.request;
    emit({
      type: "call",
      attempt,
      deadline,
      priority: priority(state.request),
    });
    notifier.started(attempt, state, now);
    return attempt;
  }

  answered(
    state: requestState.RequestState,
    call: requestState.Call,
    { usage, now }: { usage: request.Usage; now: number },
  ): void {
    this.#release(state, call, "ran");
    this.#options.notifier.ended(state, call, {
      result: "answered",
      usage,
      now,
    });
  }

  failed(
    state: requestState.RequestState,
    call: requestState.Call,
    { failure, now }: { failure: request.Failure; now: number },
  ): void {
    this.#release(state, call, failure.outcome);
    state.fail(call.attempt.endpoint);
    state.received = Math.max(state.received, failure.received);
    this.#options.notifier.ended(state, call, {
      result: "failed",
      failure,
      now,
    });
  }

  /** Cancels a call that hangs and counts it as a failure of its endpoint. */
  cancelHung(
    state: requestState.RequestState,
    call: requestState.Call,
    now: number,
  ): void {
    const { attempt } = call;
    this.#options.emit({ type: "cancel", attempt, hung: true });
    const { received } = state;
    const failure = { reason: "silent", outcome: "unknown", received } as const;
    this.failed(state, call, { failure, now });
  }

  /** Cancels all calls of a request except `kept`. */
  cancel(
    state: requestState.RequestState,
    kept: requestState.Call | undefined,
    now: number,
  ): void {
    const { emit, notifier } = this.#options;
    for (const call of state.calls) {
      if (call === kept) continue;
      this.#release(state, call, "unknown");
      emit({ type: "cancel", attempt: call.attempt });
      notifier.ended(state, call, { result: "cancelled", now });
    }
  }

  #release(
    state: requestState.RequestState,
    call: requestState.Call,
    outcome: request.Outcome,
  ): void {
    state.end(call, outcome);
    call.pool.addCalls(call.member, -1);
    this.#options.onSlotFreed(call.pool.service);
  }
}
