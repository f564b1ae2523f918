/** The core of the request path: takes events, returns effects.
 *
 * It reads no clock and opens no socket; payloads stay in the shell. Its
 * containers are changed in place, since a copy for each decision among
 * thousands of endpoints costs more than the decision.
 *
 * Each request that arrives gets exactly one `complete` or `refuse`: at once
 * when it is given up, and never after its deadline.
 * @module */

import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import * as fleet from "./fleet.ts";
import * as flight from "./flight.ts";
import * as notifier from "./notifier.ts";
import type * as policySet from "./policy_set.ts";
import * as problems from "./problems.ts";
import type * as request from "./request.ts";
import * as timers from "./timers.ts";

/** What a dispatcher is made from. */
export interface Options {
  policySet: policySet.PolicySet;
}

/** An event that can't have happened. */
export class DispatchError extends Error {
  override readonly name = "DispatchError";
}

interface Due {
  type: "deadline" | "retry" | "hedge";
  flight: flight.Flight;
  /** Attempts of the stage when it was set: tells whether it still holds. */
  attempts: number;
  stage: number;
}

type Handlers = {
  [T in event.Event["type"]]: (
    happened: event.Event & { type: T },
    now: number,
  ) => void;
};

const RETRY_AFTER_DRAIN = 1000;

/** Dispatcher of one host. */
export class Dispatcher implements policySet.Fleet {
  readonly #policies: policySet.PolicySet;
  readonly #notify: notifier.Notifier;
  readonly #flights = new Map<string, flight.Flight>();
  readonly #queues = new Map<string, policySet.Queue>();
  readonly #pools = fleet.Pools.create();
  readonly #timers = timers.Timers.create<Due>();
  readonly #dirty = new Set<string>();
  #effects: effect.Effect[] = [];
  #wakeAt = Infinity;
  #draining = false;
  #stale = 0;

  private constructor(options: Options) {
    this.#policies = options.policySet;
    this.#notify = notifier.Notifier.create(options.policySet);
  }

  static create(options: Options): Dispatcher {
    return new Dispatcher(options);
  }

  /** Requests in this host. */
  get inFlight(): number {
    return this.#flights.size;
  }

  /** Answers and failures of attempts that were no longer current. */
  get stale(): number {
    return this.#stale;
  }

  pool(service: string): fleet.Pool | undefined {
    return this.#pools.get(service);
  }

  queued(service: string): number {
    return this.#queues.get(service)?.size ?? 0;
  }

  /** Takes an event at `now` and returns what it asks for, in order. */
  step(happened: event.Event, now: number): readonly effect.Effect[] {
    this.#effects = [];
    this.#runDue(now);
    const handle = this.#handlers[happened.type] as (
      happened: event.Event,
      now: number,
    ) => void;
    handle(happened, now);
    this.#pump(now);
    this.#arm(now);
    return this.#effects;
  }

  /** Plain JSON of the present state. */
  dump(now: number): unknown {
    const queues = [...this.#queues].map(([name, { size }]) => [name, size]);
    const flights = [...this.#flights.values()];
    return {
      draining: this.#draining,
      inFlight: this.#flights.size,
      stale: this.#stale,
      timers: this.#timers.size,
      queues: Object.fromEntries(queues),
      pools: this.#pools.dump(),
      policies: this.#notify.dump(now),
      requests: flights.map((each) => each.dump(now)),
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
      this.#touchAll();
    },
    load: ({ endpoint, load }, now) => this.#notify.load(endpoint, load, now),
    cache: (change, now) => this.#notify.cache(change, now),
    policies: ({ policies }, now) => {
      this.#notify.policies(policies, now);
      this.#touchAll();
    },
    wake: () => {
      // Timers may fire early by a fraction: the next one is armed anew.
      this.#wakeAt = Infinity;
      this.#touchAll();
    },
    drain: () => {
      this.#draining = true;
    },
  };

  #arrive(arrived: request.Request, now: number): void {
    if (this.#flights.has(arrived.id)) {
      throw new DispatchError(`Request ${arrived.id} arrived twice`);
    }
    const problem = this.#objection(arrived, now);
    if (problem !== undefined) {
      this.#effects.push({ type: "refuse", request: arrived.id, problem });
      return;
    }
    const entered = flight.Flight.create(arrived, now);
    this.#flights.set(arrived.id, entered);
    this.#notify.admitted(arrived, now);
    this.#setTimer(arrived.deadline, "deadline", entered);
    this.#enqueue(entered, now);
  }

  #objection(
    arrived: request.Request,
    now: number,
  ): effect.Problem | undefined {
    if (this.#draining) return problems.stopping(RETRY_AFTER_DRAIN);
    if (now >= arrived.deadline) return problems.late("not-run");
    return this.#policies.admission.admit(arrived, now, this);
  }

  #progress(happened: event.Event & { type: "progress" }, now: number): void {
    const found = this.#current(happened.attempt);
    if (found === undefined) return;
    const [moving, call] = found;
    for (const other of moving.calls) {
      if (other !== call) this.#cancel(moving, other, now);
    }
    moving.received = Math.max(moving.received, happened.received);
    this.#notify.progressed(happened.attempt, happened.received, now);
  }

  #answer(happened: event.Event & { type: "answer" }, now: number): void {
    const found = this.#current(happened.attempt);
    if (found === undefined) return;
    const [answered, call] = found;
    this.#release(answered, call, "ran");
    const { usage } = happened;
    this.#notify.ended(answered, call, { result: "answered", usage, now });
    for (const other of answered.calls) this.#cancel(answered, other, now);
    if (answered.advance(happened)) {
      answered.since = now;
      this.#enqueue(answered, now);
      return;
    }
    const { id } = answered.request;
    this.#effects.push({ type: "complete", request: id });
    this.#finish(answered, "completed", now);
  }

  #fail(happened: event.Event & { type: "fail" }, now: number): void {
    const found = this.#current(happened.attempt);
    if (found === undefined) return;
    const [failed, call] = found;
    const { failure } = happened;
    this.#release(failed, call, failure.outcome);
    failed.fail(call.attempt.endpoint);
    failed.received = Math.max(failed.received, failure.received);
    this.#notify.ended(failed, call, { result: "failed", failure, now });
    if (failed.calls.length === 0) this.#retry(failed, failure, now);
  }

  #retry(
    failed: flight.Flight,
    failure: request.Failure,
    now: number,
  ): void {
    if (!failed.request.idempotent) {
      this.#refuse(failed, problems.unrepeatable(failed, failure), now);
      return;
    }
    const { retries, estimate } = this.#policies;
    const delay = retries.delay(failed, failure, now);
    const left = failed.request.deadline - now;
    if (delay === undefined || delay + estimate.rest(failed, now) >= left) {
      this.#refuse(failed, problems.failed(failed, failure), now);
      return;
    }
    failed.since = now;
    if (delay === 0) return this.#enqueue(failed, now);
    failed.phase = "pausing";
    this.#setTimer(now + delay, "retry", failed);
  }

  #abandon(id: string, now: number): void {
    const left = this.#flights.get(id);
    if (left === undefined) return;
    // What may not be repeated and is out runs on: its answer may be kept
    // for a resend, and a cut connection would only hide what it did.
    if (!left.request.idempotent && left.calls.length > 0) return;
    this.#refuse(left, problems.abandoned(left.outcome), now);
  }

  #enqueue(ready: flight.Flight, now: number): void {
    const { service } = ready;
    const known = this.#queues.get(service);
    const queue = known ?? this.#policies.queues.create(service);
    if (known === undefined) this.#queues.set(service, queue);
    ready.phase = "queued";
    queue.push(ready, now);
    this.#dirty.add(service);
  }

  #pump(now: number): void {
    // Refusing expired work may touch further services; a Set's iteration
    // visits what is added meanwhile.
    for (const service of this.#dirty) {
      this.#dirty.delete(service);
      const queue = this.#queues.get(service);
      if (queue !== undefined) this.#pumpService(service, queue, now);
    }
  }

  #pumpService(service: string, queue: policySet.Queue, now: number): void {
    for (const work of queue.expired?.(now) ?? []) this.#drop(work, now);
    const pool = this.#pools.get(service);
    while (pool !== undefined && pool.free > 0 && queue.size > 0) {
      const work = queue.shift(now);
      if (work === undefined) return;
      const left = work.request.deadline - now;
      if (this.#policies.estimate.rest(work, now) > left) {
        this.#drop(work, now);
        continue;
      }
      const member = this.#policies.choice.choose(work, pool, now);
      if (member === undefined) {
        queue.unshift(work, now);
        return;
      }
      this.#start(this.#flight(work), pool, { member, hedge: false, now });
    }
  }

  #drop(work: policySet.Work, now: number): void {
    const dropped = this.#flight(work);
    dropped.phase = "pausing";
    this.#refuse(dropped, problems.hopeless(dropped.outcome), now);
  }

  #start(
    starting: flight.Flight,
    pool: fleet.Pool,
    options: { member: policySet.Member; hedge: boolean; now: number },
  ): void {
    const { hedge, now } = options;
    const member = pool.member(options.member.endpoint.id);
    if (member === undefined) {
      throw new DispatchError("The chosen endpoint is not in its pool");
    }
    const attempt: request.Attempt = {
      request: starting.request.id,
      stage: starting.stage,
      attempt: ++starting.attempts,
      endpoint: member.endpoint.id,
      started: now,
      hedge,
      offset: starting.received,
    };
    starting.phase = "running";
    starting.calls.push({ attempt, pool, member });
    pool.shift(member, 1);
    const { deadline } = starting.request;
    const priority = this.#policies.priority(starting.request);
    this.#effects.push({ type: "call", attempt, deadline, priority });
    this.#notify.started(attempt, starting, now);
    if (!hedge && starting.request.idempotent) {
      const delay = this.#policies.hedge.delay(starting, attempt, now);
      if (delay !== undefined) this.#setTimer(now + delay, "hedge", starting);
    }
  }

  #hedge(slow: flight.Flight, now: number): void {
    if (slow.calls.length !== 1 || slow.received > 0) return;
    const pool = this.#pools.get(slow.service);
    if (pool === undefined || pool.free === 0) return;
    const member = this.#policies.choice.choose(slow, pool, now);
    if (member === undefined || slow.avoid.includes(member.endpoint.id)) return;
    if (!this.#policies.hedge.allow(slow, now)) return;
    this.#start(slow, pool, { member, hedge: true, now });
  }

  #cancel(of: flight.Flight, call: flight.Call, now: number): void {
    this.#release(of, call, "unknown");
    this.#effects.push({ type: "cancel", attempt: call.attempt });
    this.#notify.ended(of, call, { result: "cancelled", now });
  }

  #release(
    of: flight.Flight,
    call: flight.Call,
    outcome: request.Outcome,
  ): void {
    of.end(call, outcome);
    call.pool.shift(call.member, -1);
    this.#dirty.add(call.pool.service);
  }

  #refuse(
    refused: flight.Flight,
    problem: effect.Problem,
    now: number,
  ): void {
    if (refused.phase === "queued") {
      this.#queues.get(refused.service)?.remove(refused.request.id);
    }
    for (const call of refused.calls) this.#cancel(refused, call, now);
    const { id } = refused.request;
    this.#effects.push({ type: "refuse", request: id, problem });
    this.#finish(refused, "refused", now);
  }

  #finish(
    ended: flight.Flight,
    ending: policySet.Ending,
    now: number,
  ): void {
    ended.phase = "ended";
    this.#flights.delete(ended.request.id);
    this.#notify.finished(ended.request, ending, now);
  }

  #current(
    attempt: request.Attempt,
  ): [flight.Flight, flight.Call] | undefined {
    const owner = this.#flights.get(attempt.request);
    const call = owner?.find(attempt);
    if (owner !== undefined && call !== undefined) return [owner, call];
    this.#stale++;
    return undefined;
  }

  #flight(work: policySet.Work): flight.Flight {
    const found = this.#flights.get(work.request.id);
    if (found !== undefined) return found;
    throw new DispatchError(`Request ${work.request.id} is queued but unknown`);
  }

  #touchAll(): void {
    for (const service of this.#queues.keys()) this.#dirty.add(service);
  }

  #setTimer(at: number, type: Due["type"], of: flight.Flight): void {
    const { attempts, stage } = of;
    this.#timers.add(at, { type, flight: of, attempts, stage });
  }

  #runDue(now: number): void {
    while (this.#timers.next <= now) {
      const due = this.#timers.pop()!;
      if (holds(due)) this.#dueHandlers[due.type](due.flight, now);
    }
  }

  readonly #dueHandlers: Record<
    Due["type"],
    (of: flight.Flight, now: number) => void
  > = {
    deadline: (of, now) => this.#refuse(of, problems.expired(of), now),
    retry: (of, now) => this.#enqueue(of, now),
    hedge: (of, now) => this.#hedge(of, now),
  };

  /** Asks for a wake at the next due time, unless one is on its way. */
  #arm(now: number): void {
    while (this.#timers.size > 0 && !holds(this.#timers.peek()!)) {
      this.#timers.pop();
    }
    let next = this.#timers.next;
    for (const queue of this.#queues.values()) {
      if (queue.size === 0) continue;
      next = Math.min(next, queue.nextAt?.(now) ?? Infinity);
    }
    if (this.#wakeAt <= now) this.#wakeAt = Infinity;
    if (next >= this.#wakeAt) return;
    this.#wakeAt = next;
    this.#effects.push({ type: "wake", at: next });
  }
}

function holds(due: Due): boolean {
  const { type, flight, attempts, stage } = due;
  if (flight.phase === "ended") return false;
  if (type === "deadline") return true;
  return flight.stage === stage && flight.attempts === attempts;
}
