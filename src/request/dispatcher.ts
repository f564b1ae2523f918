/** The core of the request path: takes events, returns effects.
 *
 * It reads no clock and opens no socket; payloads stay in the shell. Its
 * containers are changed in place, since a copy for each decision among
 * thousands of endpoints costs more than the decision.
 *
 * Each request that arrives gets exactly one `complete` or `refuse`: at once
 * when it is given up, and never after its deadline.
 * @module */

import * as schedule from "./request_timers.ts";
import * as calls from "./calls.ts";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as fleet from "./fleet.ts";
import type * as flight from "./request_state.ts";
import * as flights from "./request_states.ts";
import * as queueSet from "./queue_set.ts";
import * as notifier from "./notifier.ts";
import type * as policySet from "./policy_set.ts";
import * as problems from "./problems.ts";
import type * as request from "./request.ts";
import * as runningCalls from "./running_calls.ts";

/** What a dispatcher is made from. */
export interface Options {
  policySet: policySet.PolicySet;
  /** Further parts that only watch. */
  observers?: readonly policySet.Observer[];
}

type Handlers = {
  [T in event.Event["type"]]: (
    happened: event.Event & { type: T },
    now: number,
  ) => void;
};

/** Milliseconds after which work is looked at again that found no endpoint
 * though slots are free: what was reported of others fades. */
const LOOK_AGAIN = 50;

/** Dispatcher of one host. */
export class Dispatcher implements policySet.Fleet {
  readonly #policies: policySet.PolicySet;
  readonly #notify: notifier.Notifier;
  readonly #flights = flights.RequestStates.create();
  readonly #queues: queueSet.QueueSet;
  readonly #pools = fleet.Pools.create();
  readonly #schedule = schedule.RequestTimers.create();
  readonly #calls: calls.Calls;
  readonly #runningCalls: runningCalls.RunningCalls;
  #effects: effect.Effect[] = [];
  #draining = false;

  private constructor({ policySet, observers }: Options) {
    this.#policies = policySet;
    this.#notify = notifier.Notifier.create(policySet, observers);
    this.#queues = queueSet.QueueSet.create(policySet.queues);
    this.#calls = calls.Calls.create({
      notifier: this.#notify,
      priority: policySet.priority,
      emit: (asked) => this.#effects.push(asked),
      freed: (service) => this.#queues.mark(service),
    });
    this.#runningCalls = runningCalls.RunningCalls.create({
      policySet,
      pools: this.#pools,
      calls: this.#calls,
      schedule: this.#schedule,
    });
  }

  static create(options: Options): Dispatcher {
    return new Dispatcher(options);
  }

  get inFlight(): number {
    return this.#flights.size;
  }

  /** Events about attempts that were no longer current. */
  get stale(): number {
    return this.#flights.stale;
  }

  pool(service: string): fleet.Pool | undefined {
    return this.#pools.get(service);
  }

  queued(service: string): number {
    return this.#queues.size(service);
  }

  /** Takes an event at `now` and returns what it asks for, in order. */
  step(happened: event.Event, now: number): readonly effect.Effect[] {
    this.#effects = [];
    const handle = this.#handlers[happened.type] as (
      happened: event.Event,
      now: number,
    ) => void;
    handle(happened, now);
    // After the event: it may have ended what a hedge or a retry is due for.
    this.#runDue(now);
    this.#queues.visit((service, queue) => this.#serve(service, queue, now));
    const wake = this.#schedule.nextWake(now, this.#queues.nextAt(now));
    if (wake !== undefined) this.#effects.push({ type: "wake", at: wake });
    return this.#effects;
  }

  /** Plain JSON of the present state. */
  dump(now: number): unknown {
    return {
      draining: this.#draining,
      inFlight: this.#flights.size,
      stale: this.stale,
      timers: this.#schedule.size,
      queues: this.#queues.dump(),
      pools: this.#pools.dump(),
      policies: this.#notify.dump(now),
      requests: this.#flights.dump(now),
    };
  }

  readonly #handlers: Handlers = {
    arrive: ({ request }, now) => this.#arrive(request, now),
    progress: (happened, now) => this.#progress(happened, now),
    answer: (happened, now) => this.#answer(happened, now),
    fail: (happened, now) => this.#fail(happened, now),
    abandon: ({ request }, now) => this.#abandon(request, now),
    endpoints: ({ endpoints }, now) => {
      this.#pools.replace(endpoints);
      this.#notify.endpoints(endpoints, now);
      this.#queues.markAll();
    },
    load: ({ endpoint, load }, now) => {
      this.#notify.load(endpoint, load, now);
      const service = this.#pools.serviceOf(endpoint);
      if (service !== undefined) this.#queues.mark(service);
    },
    cache: (change, now) => this.#notify.cache(change, now),
    policies: ({ policies }, now) => {
      this.#notify.policies(policies, now);
      this.#queues.markAll();
    },
    wake: () => {
      this.#schedule.clearWake();
      this.#queues.markAll();
    },
    drain: () => {
      this.#draining = true;
    },
  };

  #arrive(arrived: request.Request, now: number): void {
    this.#notify.arrived(arrived, now);
    const problem = this.#objection(arrived, now);
    if (problem !== undefined) {
      this.#effects.push({ type: "refuse", request: arrived.id, problem });
      return;
    }
    const entered = this.#flights.add(arrived, now);
    this.#notify.admitted(arrived, now);
    this.#schedule.set(arrived.deadline, "deadline", entered);
    this.#queues.push(entered, now);
  }

  #objection(
    arrived: request.Request,
    now: number,
  ): effect.Problem | undefined {
    if (this.#draining) return problems.stopping();
    if (now >= arrived.deadline) return problems.deadlinePassed("not-run");
    return this.#policies.admission.admit(arrived, now, this);
  }

  #progress(happened: event.Event & { type: "progress" }, now: number): void {
    const found = this.#flights.current(happened.attempt);
    if (found === undefined) return;
    const { state: owner, call } = found;
    this.#calls.cancel(owner, call, now);
    owner.received = Math.max(owner.received, happened.received);
    owner.progressed = now;
    this.#notify.progressed(happened.attempt, happened.received, now);
  }

  #answer(happened: event.Event & { type: "answer" }, now: number): void {
    const found = this.#flights.current(happened.attempt);
    if (found === undefined) return;
    const { state: owner, call } = found;
    this.#calls.answered(owner, call, { usage: happened.usage, now });
    this.#calls.cancel(owner, undefined, now);
    if (now >= owner.request.deadline) {
      return this.#refuse(owner, problems.expired(owner), now);
    }
    if (owner.advance(happened, now)) return this.#queues.push(owner, now);
    this.#effects.push({ type: "complete", request: owner.request.id });
    this.#finish(owner, "completed", now);
  }

  #fail(happened: event.Event & { type: "fail" }, now: number): void {
    const { attempt, failure } = happened;
    const found = this.#flights.current(attempt);
    if (found === undefined) return;
    const { state: owner, call } = found;
    this.#calls.failed(owner, call, { failure, now });
    if (owner.calls.length === 0) this.#retry(owner, failure, now);
  }

  #retry(of: flight.RequestState, failure: request.Failure, now: number): void {
    if (!of.request.idempotent) {
      return this.#refuse(of, problems.unrepeatable(of, failure), now);
    }
    const { retries, estimate } = this.#policies;
    const delay = retries.delay(of, failure, now);
    const left = of.request.deadline - now;
    if (
      delay === undefined || delay + estimate.remainingTime(of, now) >= left
    ) {
      return this.#refuse(of, problems.failed(of, failure), now);
    }
    of.since = now;
    if (delay === 0) return this.#queues.push(of, now);
    of.phase = "pausing";
    this.#schedule.set(now + delay, "retry", of);
  }

  #abandon(id: string, now: number): void {
    const left = this.#flights.get(id);
    if (left === undefined) return;
    // What may not be repeated and is out runs on: its answer may be kept
    // for a resend, and a cut connection would only hide what it did.
    if (!left.request.idempotent && left.calls.length > 0) return;
    this.#refuse(left, problems.abandoned(left.outcome), now);
  }

  /** Starts what waits for a service, as far as there are slots. */
  #serve(service: string, queue: policySet.Queue, now: number): void {
    for (const work of queue.expired?.(now) ?? []) this.#drop(work, now);
    const pool = this.#pools.get(service);
    while (pool !== undefined && pool.free > 0 && queue.size > 0) {
      const work = queue.shift(now);
      if (work === undefined) return;
      const left = work.request.deadline - now;
      if (this.#policies.estimate.remainingTime(work, now) > left) {
        this.#drop(work, now);
        continue;
      }
      const chosen = this.#policies.choice.choose(work, pool, now);
      if (chosen === undefined) {
        queue.unshift(work, now);
        return this.#queues.visitAt(service, now + LOOK_AGAIN);
      }
      this.#runningCalls.start(this.#flights.of(work), pool, { chosen, now });
    }
  }

  /** Refuses work that was taken out of its queue. */
  #drop(work: policySet.Work, now: number): void {
    const dropped = this.#flights.of(work);
    dropped.phase = "pausing";
    this.#refuse(dropped, problems.deadlineUnreachable(dropped.outcome), now);
  }

  #refuse(
    refused: flight.RequestState,
    problem: effect.Problem,
    now: number,
  ): void {
    if (refused.phase === "queued") this.#queues.remove(refused);
    this.#calls.cancel(refused, undefined, now);
    this.#effects.push({
      type: "refuse",
      request: refused.request.id,
      problem,
    });
    this.#finish(refused, "refused", now);
  }

  #finish(of: flight.RequestState, how: policySet.Ending, now: number): void {
    this.#flights.remove(of);
    this.#notify.finished(of.request, how, now);
  }

  #runDue(now: number): void {
    for (let due; (due = this.#schedule.take(now)) !== undefined;) {
      this.#dueHandlers[due.type](due, now);
    }
  }

  readonly #dueHandlers: Record<
    schedule.DueTimer["type"],
    (due: schedule.DueTimer, now: number) => void
  > = {
    deadline: ({ state: flight }, now) =>
      this.#refuse(flight, problems.expired(flight), now),
    retry: ({ state: flight }, now) => this.#queues.push(flight, now),
    hedge: ({ state: flight }, now) => this.#runningCalls.hedge(flight, now),
    look: (due, now) => this.#runningCalls.checkHung(due, now),
  };
}
