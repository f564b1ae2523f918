/** State machine of the request path: takes events and returns effects.
 *
 * It reads no clock and opens no socket; the executor holds the payloads and
 * performs the effects. Its containers are changed in place, since a copy for
 * each decision among thousands of endpoints costs more than the decision.
 *
 * Each request that arrives gets exactly one `complete` or `refuse`. A refusal
 * is issued as soon as the request can't succeed; a `complete` is never issued
 * after the deadline.
 * @module */

import * as requestTimers from "./request_timers.ts";
import * as calls from "./calls.ts";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as fleet from "./fleet.ts";
import type * as requestState from "./request_state.ts";
import * as requestStates from "./request_states.ts";
import * as queueSet from "./queue_set.ts";
import * as notifier from "./notifier.ts";
import type * as policySet from "./policy_set.ts";
import * as problems from "./problems.ts";
import type * as request from "./request.ts";
import * as runningCalls from "./running_calls.ts";

/** Options of a dispatcher. */
export interface Options {
  policySet: policySet.PolicySet;
  /** Observers in addition to the policies. */
  observers?: readonly policySet.Observer[];
}

type Handlers = {
  [T in event.Event["type"]]: (
    event: event.Event & { type: T },
    now: number,
  ) => void;
};

/** Delay before a queue is visited again whose work found no endpoint although
 * slots are free: load that other endpoints reported decays with time. */
const REVISIT_DELAY_MS = 50;

/** Dispatcher of one host. */
export class Dispatcher implements policySet.Fleet {
  readonly #policies: policySet.PolicySet;
  readonly #notifier: notifier.Notifier;
  readonly #requests = requestStates.RequestStates.create();
  readonly #queues: queueSet.QueueSet;
  readonly #pools = fleet.Pools.create();
  readonly #timers = requestTimers.RequestTimers.create();
  readonly #calls: calls.Calls;
  readonly #runningCalls: runningCalls.RunningCalls;
  #effects: effect.Effect[] = [];
  #draining = false;

  private constructor({ policySet, observers }: Options) {
    this.#policies = policySet;
    this.#notifier = notifier.Notifier.create(policySet, observers);
    this.#queues = queueSet.QueueSet.create(policySet.queues);
    this.#calls = calls.Calls.create({
      notifier: this.#notifier,
      priority: policySet.priority,
      emit: (effect) => this.#effects.push(effect),
      onSlotFreed: (service) => this.#queues.mark(service),
    });
    this.#runningCalls = runningCalls.RunningCalls.create({
      policySet,
      pools: this.#pools,
      calls: this.#calls,
      timers: this.#timers,
    });
  }

  static create(options: Options): Dispatcher {
    return new Dispatcher(options);
  }

  get inFlight(): number {
    return this.#requests.size;
  }

  /** Number of events that referred to calls no longer in flight. */
  get stale(): number {
    return this.#requests.stale;
  }

  pool(service: string): fleet.Pool | undefined {
    return this.#pools.get(service);
  }

  queued(service: string): number {
    return this.#queues.size(service);
  }

  /** Handles an event at `now` and returns its effects in order. */
  step(event: event.Event, now: number): readonly effect.Effect[] {
    this.#effects = [];
    const handle = this.#handlers[event.type] as (
      event: event.Event,
      now: number,
    ) => void;
    handle(event, now);
    // After the event, since it may have ended the call or stage that a timer is
    // set for.
    this.#runDueTimers(now);
    this.#queues.visit((service, queue) =>
      this.#dispatchQueued(service, queue, now)
    );
    const wake = this.#timers.nextWake(now, this.#queues.nextAt(now));
    if (wake !== undefined) this.#effects.push({ type: "wake", at: wake });
    return this.#effects;
  }

  /** Current state as plain JSON. */
  dump(now: number): unknown {
    return {
      draining: this.#draining,
      inFlight: this.#requests.size,
      stale: this.stale,
      timers: this.#timers.size,
      queues: this.#queues.dump(),
      pools: this.#pools.dump(),
      policies: this.#notifier.dump(now),
      requests: this.#requests.dump(now),
    };
  }

  readonly #handlers: Handlers = {
    arrive: ({ request }, now) => this.#arrive(request, now),
    progress: (event, now) => this.#progress(event, now),
    answer: (event, now) => this.#answer(event, now),
    fail: (event, now) => this.#fail(event, now),
    abandon: ({ request }, now) => this.#abandon(request, now),
    endpoints: ({ endpoints }, now) => {
      this.#pools.replace(endpoints);
      this.#notifier.endpoints(endpoints, now);
      this.#queues.markAll();
    },
    load: ({ endpoint, load }, now) => {
      this.#notifier.load(endpoint, load, now);
      const service = this.#pools.serviceOf(endpoint);
      if (service !== undefined) this.#queues.mark(service);
    },
    cache: (change, now) => this.#notifier.cache(change, now),
    policies: ({ policies }, now) => {
      this.#notifier.policies(policies, now);
      this.#queues.markAll();
    },
    wake: () => {
      this.#timers.clearWake();
      this.#queues.markAll();
    },
    drain: () => {
      this.#draining = true;
    },
  };

  #arrive(arrived: request.Request, now: number): void {
    this.#notifier.arrived(arrived, now);
    const problem = this.#checkArrival(arrived, now);
    if (problem !== undefined) {
      this.#effects.push({ type: "refuse", request: arrived.id, problem });
      return;
    }
    const state = this.#requests.add(arrived, now);
    this.#notifier.admitted(arrived, now);
    this.#timers.set(arrived.deadline, "deadline", state);
    this.#queues.push(state, now);
  }

  #checkArrival(
    arrived: request.Request,
    now: number,
  ): effect.Problem | undefined {
    if (this.#draining) return problems.stopping();
    if (now >= arrived.deadline) return problems.deadlinePassed("not-run");
    return this.#policies.admission.admit(arrived, now, this);
  }

  #progress(event: event.Event & { type: "progress" }, now: number): void {
    const found = this.#requests.current(event.attempt);
    if (found === undefined) return;
    const { state, call } = found;
    this.#calls.cancel(state, call, now);
    state.received = Math.max(state.received, event.received);
    state.progressed = now;
    this.#notifier.progressed(event.attempt, event.received, now);
  }

  #answer(event: event.Event & { type: "answer" }, now: number): void {
    const found = this.#requests.current(event.attempt);
    if (found === undefined) return;
    const { state, call } = found;
    this.#calls.answered(state, call, { usage: event.usage, now });
    this.#calls.cancel(state, undefined, now);
    if (now >= state.request.deadline) {
      return this.#refuse(state, problems.expired(state), now);
    }
    if (state.advance(event, now)) return this.#queues.push(state, now);
    this.#effects.push({ type: "complete", request: state.request.id });
    this.#finish(state, "completed", now);
  }

  #fail(event: event.Event & { type: "fail" }, now: number): void {
    const { attempt, failure } = event;
    const found = this.#requests.current(attempt);
    if (found === undefined) return;
    const { state, call } = found;
    this.#calls.failed(state, call, { failure, now });
    if (state.calls.length === 0) this.#retry(state, failure, now);
  }

  #retry(
    state: requestState.RequestState,
    failure: request.Failure,
    now: number,
  ): void {
    if (!state.request.idempotent) {
      return this.#refuse(state, problems.unrepeatable(state, failure), now);
    }
    const { retries, estimate } = this.#policies;
    const delay = retries.delay(state, failure, now);
    const remaining = state.request.deadline - now;
    if (
      delay === undefined ||
      delay + estimate.remainingTime(state, now) >= remaining
    ) {
      return this.#refuse(state, problems.failed(state, failure), now);
    }
    state.since = now;
    if (delay === 0) return this.#queues.push(state, now);
    state.phase = "pausing";
    this.#timers.set(now + delay, "retry", state);
  }

  #abandon(id: string, now: number): void {
    const abandoned = this.#requests.get(id);
    if (abandoned === undefined) return;
    // A call that is not idempotent continues: its answer may be stored for a
    // resend, and closing the connection would only hide its outcome.
    if (!abandoned.request.idempotent && abandoned.calls.length > 0) return;
    this.#refuse(abandoned, problems.abandoned(abandoned.outcome), now);
  }

  /** Starts queued work of a service while slots are free. */
  #dispatchQueued(service: string, queue: policySet.Queue, now: number): void {
    for (const work of queue.expired?.(now) ?? []) {
      this.#refuseQueued(work, now);
    }
    const pool = this.#pools.get(service);
    while (pool !== undefined && pool.free > 0 && queue.size > 0) {
      const work = queue.shift(now);
      if (work === undefined) return;
      const remaining = work.request.deadline - now;
      if (this.#policies.estimate.remainingTime(work, now) > remaining) {
        this.#refuseQueued(work, now);
        continue;
      }
      const chosen = this.#policies.choice.choose(work, pool, now);
      if (chosen === undefined) {
        queue.unshift(work, now);
        return this.#queues.visitAt(service, now + REVISIT_DELAY_MS);
      }
      this.#runningCalls.start(this.#requests.of(work), pool, { chosen, now });
    }
  }

  /** Refuses work that has been removed from its queue. */
  #refuseQueued(work: policySet.Work, now: number): void {
    const state = this.#requests.of(work);
    state.phase = "pausing";
    this.#refuse(state, problems.deadlineUnreachable(state.outcome), now);
  }

  #refuse(
    state: requestState.RequestState,
    problem: effect.Problem,
    now: number,
  ): void {
    if (state.phase === "queued") this.#queues.remove(state);
    this.#calls.cancel(state, undefined, now);
    this.#effects.push({
      type: "refuse",
      request: state.request.id,
      problem,
    });
    this.#finish(state, "refused", now);
  }

  #finish(
    state: requestState.RequestState,
    ending: policySet.FinalState,
    now: number,
  ): void {
    this.#requests.remove(state);
    this.#notifier.finished(state.request, ending, now);
  }

  #runDueTimers(now: number): void {
    for (let due; (due = this.#timers.take(now)) !== undefined;) {
      this.#timerHandlers[due.type](due, now);
    }
  }

  readonly #timerHandlers: Record<
    requestTimers.DueTimer["type"],
    (due: requestTimers.DueTimer, now: number) => void
  > = {
    deadline: ({ state }, now) =>
      this.#refuse(state, problems.expired(state), now),
    retry: ({ state }, now) => this.#queues.push(state, now),
    hedge: ({ state }, now) => this.#runningCalls.hedge(state, now),
    look: (due, now) => this.#runningCalls.checkHung(due, now),
  };
}
