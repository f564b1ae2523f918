/** Starts the calls of stages and looks after them while they run: a slow one
 * is raced against a second, a hung one is given up for a new one.
 * @module */

import type * as schedules from "./request_timers.ts";
import type * as calls from "./calls.ts";
import type * as fleet from "./fleet.ts";
import type * as flight from "./request_state.ts";
import type * as policySet from "./policy_set.ts";

/** What running calls are made from. */
export interface Options {
  policySet: policySet.PolicySet;
  pools: fleet.Pools;
  calls: calls.Calls;
  schedule: schedules.RequestTimers;
}

/** Milliseconds until another look at what could not be helped now. */
const LOOK_AGAIN = 250;
/** Milliseconds between two looks at most: progress may bring the time forward
 * at which a call counts as hung. */
const LONGEST = 1000;
/** Milliseconds by which a look may come late and still be believed: a host
 * that was held up itself has not read yet what its endpoints sent. */
const LATE = 50;

/** Calls of the stages that run. */
export class RunningCalls {
  readonly #options: Options;

  private constructor(options: Options) {
    this.#options = options;
  }

  static create(options: Options): RunningCalls {
    return new RunningCalls(options);
  }

  /** Starts a call of a stage at a chosen endpoint. */
  start(
    of: flight.RequestState,
    pool: fleet.Pool,
    { chosen, now }: { chosen: policySet.Member; now: number },
  ): void {
    const { calls, schedule, policySet: { hedge } } = this.#options;
    const member = pool.resolve(chosen);
    const attempt = calls.start(of, { pool, member, hedge: false }, now);
    if (!of.request.idempotent) return;
    const delay = hedge.delay(of, attempt, now);
    if (delay !== undefined) schedule.set(now + delay, "hedge", of);
    this.#watch(of, of.calls[0], now);
  }

  /** Races a second call against a slow one, where the policy allows it. */
  hedge(slow: flight.RequestState, now: number): void {
    if (slow.calls.length !== 1 || slow.received > 0) return;
    const { calls, policySet: { hedge } } = this.#options;
    const place = this.#other(slow, now);
    if (place === undefined) return;
    if (slow.avoid.includes(place.member.endpoint.id)) return;
    if (!hedge.allow(slow, now)) return;
    calls.start(slow, { ...place, hedge: true }, now);
    this.#lookAt(slow, now + LOOK_AGAIN);
  }

  /** Gives a call up for a new one when it hangs; else looks again later. */
  checkHung({ state: flight, at }: schedules.DueTimer, now: number): void {
    const [call, other] = flight.calls;
    if (call === undefined) return;
    const late = now - at > LATE;
    if (late || other !== undefined) {
      return this.#lookAt(flight, now + LOOK_AGAIN);
    }
    if (this.#hangsAt(flight, call, now) > now) {
      return this.#watch(flight, call, now);
    }
    if (!this.#replace(flight, call, now)) {
      this.#lookAt(flight, now + LOOK_AGAIN);
    }
  }

  #replace(hung: flight.RequestState, call: flight.Call, now: number): boolean {
    const { calls, policySet: { hedge } } = this.#options;
    // Maybe the same endpoint: a new connection may work where one hangs.
    const place = this.#other(hung, now);
    if (place === undefined || !hedge.replace?.(hung, now)) return false;
    calls.cancelHung(hung, call, now);
    this.start(hung, place.pool, { chosen: place.member, now });
    return true;
  }

  #other(
    of: flight.RequestState,
    now: number,
  ): Omit<calls.Destination, "hedge"> | undefined {
    const { pools, policySet: { choice } } = this.#options;
    const pool = pools.get(of.service);
    if (pool === undefined || pool.free === 0) return undefined;
    const chosen = choice.choose(of, pool, now);
    return chosen && { pool, member: pool.resolve(chosen) };
  }

  #watch(of: flight.RequestState, call: flight.Call, now: number): void {
    const at = Math.min(this.#hangsAt(of, call, now), now + LONGEST);
    if (at < of.request.deadline) this.#lookAt(of, at);
  }

  #hangsAt(
    of: flight.RequestState,
    { attempt }: flight.Call,
    now: number,
  ): number {
    const { hedge } = this.#options.policySet;
    const receiving = of.received > attempt.offset;
    const at = receiving ? of.progressed : attempt.started;
    return hedge.hangsAt?.(of, { attempt, at, receiving }, now) ?? Infinity;
  }

  #lookAt(of: flight.RequestState, at: number): void {
    if (this.#options.policySet.hedge.hangsAt === undefined) return;
    this.#options.schedule.set(at, "look", of);
  }
}
