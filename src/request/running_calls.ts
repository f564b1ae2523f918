/** Starts the calls of stages and monitors them while they run: a slow call
 * gets a hedge, and a hung call is replaced by a new one.
 * @module */

import type * as requestTimers from "./request_timers.ts";
import type * as calls from "./calls.ts";
import type * as fleet from "./fleet.ts";
import type * as requestState from "./request_state.ts";
import type * as policySet from "./policy_set.ts";

/** Dependencies of `RunningCalls`. */
export interface Options {
  policySet: policySet.PolicySet;
  pools: fleet.Pools;
  calls: calls.Calls;
  timers: requestTimers.RequestTimers;
}

/** Time until the next check of a call that could not be replaced now. */
const RECHECK_DELAY_MS = 250;
/** Maximum time between two checks: progress of a call may make the time
 * earlier at which it counts as hung. */
const MAX_CHECK_INTERVAL_MS = 1000;
/** Maximum lag of a check's timer. After a longer lag the host itself was
 * blocked and may have unread data of its endpoints, so the check is repeated. */
const MAX_TIMER_LAG_MS = 50;

/** Monitors the calls in flight. */
export class RunningCalls {
  readonly #options: Options;

  private constructor(options: Options) {
    this.#options = options;
  }

  static create(options: Options): RunningCalls {
    return new RunningCalls(options);
  }

  /** Starts a call of a stage at the chosen endpoint. */
  start(
    state: requestState.RequestState,
    pool: fleet.Pool,
    { chosen, now }: { chosen: policySet.Member; now: number },
  ): void {
    const { calls, timers: schedule, policySet: { hedge } } = this.#options;
    const member = pool.resolve(chosen);
    const attempt = calls.start(state, { pool, member, hedge: false }, now);
    if (!state.request.idempotent) return;
    const delay = hedge.delay(state, attempt, now);
    if (delay !== undefined) schedule.set(now + delay, "hedge", state);
    this.#scheduleCheck(state, state.calls[0], now);
  }

  /** Starts a hedge for a slow call, if the policy allows it. */
  hedge(state: requestState.RequestState, now: number): void {
    if (state.calls.length !== 1 || state.received > 0) return;
    const { calls, policySet: { hedge } } = this.#options;
    const destination = this.#chooseEndpoint(state, now);
    if (destination === undefined) return;
    if (state.avoid.includes(destination.member.endpoint.id)) return;
    if (!hedge.allow(state, now)) return;
    calls.start(state, { ...destination, hedge: true }, now);
    this.#setCheckTimer(state, now + RECHECK_DELAY_MS);
  }

  /** Replaces a call if it hangs; otherwise schedules the next check. */
  checkHung({ state, at }: requestTimers.DueTimer, now: number): void {
    const [call, other] = state.calls;
    if (call === undefined) return;
    const isLate = now - at > MAX_TIMER_LAG_MS;
    if (isLate || other !== undefined) {
      return this.#setCheckTimer(state, now + RECHECK_DELAY_MS);
    }
    if (this.#hangsAt(state, call, now) > now) {
      return this.#scheduleCheck(state, call, now);
    }
    if (!this.#replace(state, call, now)) {
      this.#setCheckTimer(state, now + RECHECK_DELAY_MS);
    }
  }

  #replace(
    state: requestState.RequestState,
    call: requestState.Call,
    now: number,
  ): boolean {
    const { calls, policySet: { hedge } } = this.#options;
    // This may be the same endpoint: a new connection may work where the old one
    // hangs.
    const destination = this.#chooseEndpoint(state, now);
    if (destination === undefined || !hedge.replace?.(state, now)) return false;
    calls.cancelHung(state, call, now);
    this.start(state, destination.pool, { chosen: destination.member, now });
    return true;
  }

  #chooseEndpoint(
    state: requestState.RequestState,
    now: number,
  ): Omit<calls.Destination, "hedge"> | undefined {
    const { pools, policySet: { choice } } = this.#options;
    const pool = pools.get(state.service);
    if (pool === undefined || pool.free === 0) return undefined;
    const chosen = choice.choose(state, pool, now);
    return chosen && { pool, member: pool.resolve(chosen) };
  }

  #scheduleCheck(
    state: requestState.RequestState,
    call: requestState.Call,
    now: number,
  ): void {
    const at = Math.min(
      this.#hangsAt(state, call, now),
      now + MAX_CHECK_INTERVAL_MS,
    );
    if (at < state.request.deadline) this.#setCheckTimer(state, at);
  }

  #hangsAt(
    state: requestState.RequestState,
    { attempt }: requestState.Call,
    now: number,
  ): number {
    const { hedge } = this.#options.policySet;
    const receiving = state.received > attempt.offset;
    const at = receiving ? state.progressed : attempt.started;
    return hedge.hangsAt?.(state, { attempt, at, receiving }, now) ?? Infinity;
  }

  #setCheckTimer(state: requestState.RequestState, at: number): void {
    if (this.#options.policySet.hedge.hangsAt === undefined) return;
    this.#options.timers.set(at, "look", state);
  }
}
