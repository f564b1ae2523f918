/** Assigns the queued items of one partition to its endpoints.
 *
 * One scheduler sees all queued items of the partition and knows which
 * endpoints are idle and how much memory they have left. An endpoint that
 * becomes idle is assigned the most urgent items of any requests, up to a full
 * call. Under load, calls therefore fill up without a batching timer.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as decayingMeans from "../runtime/decaying_mean.ts";
import * as reservations from "./reservations.ts";
import * as throughputs from "./throughput.ts";
import * as delayScheduling from "./delay_scheduling.ts";
import * as tasks from "./task.ts";
import * as workerStates from "./worker_state.ts";

/** Running mean of call durations: covers some dozens of calls, which is one or
 * two seconds in a busy partition. */
const CALL_DURATION_MEAN = { gain: 0.05, freshMs: 2000, halfLifeMs: 1000 };
/** Limit on the first measured duration, as a multiple of the duration that the
 * configuration gives. */
const MAX_FIRST_RATIO = 2;
/** Fraction of the possible batch from which a call is made at once; a smaller
 * call is delayed for at most the fixed duration of a call. */
const MIN_BATCH_RATIO = 0.5;
/** Lateness up to which a task keeps its priority. */
const LATE_TOLERANCE_MS = 100;
/** Number of full calls that are reserved between a late task and its expiry,
 * for the stages that depend on it: a pipeline has about three stages and an
 * engine call. */
const RESERVED_CALL_COUNT = 4;

/** Estimate of when items would start. */
export interface Forecast {
  /** Milliseconds until they start. */
  readonly wait: number;
  /** Items that start before them: queued, reserved, or expected to arrive
   * meanwhile. */
  readonly ahead: number;
  /** Items that start per millisecond. */
  readonly rate: number;
  /** What the items wait for; undefined if endpoints keep up. */
  readonly scarce?: throughputs.ScarceResource;
}

/** The queue and the endpoints of one partition. Mutable. */
export class Scheduler {
  #traits: configurations.BatchTraits;
  readonly #sharedSlowness?: workerStates.SharedSlowness;
  readonly #workers = new Map<string, workerStates.WorkerState>();
  #queued: tasks.Task[] = [];
  readonly #reservations = reservations.Reservations.create();
  readonly #throughput = throughputs.Throughput.create();
  readonly #callDuration = decayingMeans.DecayingMean.create(
    CALL_DURATION_MEAN,
  );

  private constructor(
    traits: configurations.BatchTraits,
    sharedSlowness?: workerStates.SharedSlowness,
  ) {
    this.#traits = traits;
    this.#sharedSlowness = sharedSlowness;
  }

  static create(
    traits: configurations.BatchTraits,
    sharedSlowness?: workerStates.SharedSlowness,
  ): Scheduler {
    return new Scheduler(traits, sharedSlowness);
  }

  /** Queued tasks. */
  get waiting(): readonly tasks.Task[] {
    return this.#queued;
  }

  /** Applies a change of the service's performance figures. */
  setTraits(traits: configurations.BatchTraits): void {
    this.#traits = traits;
  }

  /** Sets the endpoints that accept calls. An endpoint that is no longer listed
   * is kept while it has calls or results: it may only be unreachable for a
   * while. */
  setWorkers(workers: readonly tasks.Worker[]): void {
    for (const state of this.#workers.values()) state.isListed = false;
    for (const worker of workers) {
      const state = this.#workers.get(worker.id) ??
        workerStates.WorkerState.create(worker, this.#sharedSlowness);
      state.isListed = true;
      this.#workers.set(worker.id, state);
    }
    for (const [id, { isListed, isInUse }] of this.#workers) {
      if (!isListed && !isInUse) this.#workers.delete(id);
    }
  }

  /** Mean duration of recent calls, whatever their size; the configured
   * duration of a call with one item if none was made recently. */
  callDuration(now: number): number {
    return this.#callDuration.value({ now, prior: this.#expectedDuration(1) });
  }

  /** Milliseconds since the duration of a call was last measured; undefined
   * before the first one. */
  callDurationAge(now: number): number | undefined {
    return this.#callDuration.age(now);
  }

  /** Records a reservation; returns an estimate of when its items would start
   * if they were submitted now. */
  reserve(reservation: reservations.Reservation, now: number): Forecast {
    this.#reservations.expire(now);
    const forecast = this.forecast(reservation, now);
    this.#reservations.add(reservation, now);
    return forecast;
  }

  /** Estimates when items would start: behind all that are more urgent, or in
   * places that calls leave free, whichever is sooner. */
  forecast(
    { dueAt, rank, bytes, count = 1 }:
      & Pick<reservations.Reservation, "dueAt" | "rank" | "bytes">
      & Partial<Pick<reservations.Reservation, "count">>,
    now: number,
  ): Forecast {
    const deadline = tasks.virtualDeadline({ dueAt, rank });
    const usable = [...this.#workers.values()]
      .filter((state) => state.isUsable(now));
    if (usable.length === 0) return NO_WORKER_FORECAST;
    const { batch, slots } = this.#traits;
    const fullCall = this.#expectedDuration(batch);
    const nominal = usable.reduce(
      (sum, state) =>
        sum + slots * batch / (fullCall * Math.max(1, state.slowness(now))),
      0,
    );
    const isBusy = usable.every(({ calls }) => calls >= slots);
    // If the remaining times of the running calls are independent and uniform,
    // this is the expected time until the first one ends.
    const firstIdle = isBusy ? fullCall / (usable.length + 1) : 0;
    const ahead = this.#queued.filter((task) =>
      this.#virtualDeadline(task, now) <= deadline
    );
    const forecasts = this.#throughput.paces(bytes, nominal, now).map(
      (pace): Forecast => {
        const { rate, scarce, takesFreePlaces } = pace;
        const queued = ahead.filter((task) => pace.includes(task.bytes)).length;
        const waiting = takesFreePlaces ? queued + count : queued;
        const wait = this.#reservations.estimateWait(deadline, {
          waiting,
          pace,
          now,
        });
        return { wait: firstIdle + wait, ahead: wait * rate, rate, scarce };
      },
    );
    return forecasts.reduce((one, other) =>
      other.wait < one.wait ? other : one
    );
  }

  /** Adds tasks to the queue and removes the reservations that they fulfil. */
  add(added: readonly tasks.Task[]): void {
    for (const task of added) this.#reservations.remove(task);
    this.#queued.push(...added);
  }

  /** Removes and returns the queued tasks of a request that has been
   * cancelled. */
  cancelRequest(request: string): tasks.Task[] {
    this.#reservations.removeRequest(request);
    return this.#removeIf((task) => task.request === request);
  }

  /** Removes a queued task whose result has come from an overdue call. */
  removeTask({ request, stage, itemIndex }: tasks.Task): void {
    this.#removeIf((task) =>
      task.request === request && task.stage === stage &&
      task.itemIndex === itemIndex
    );
  }

  /** Removes and returns all queued tasks. */
  clear(): tasks.Task[] {
    return this.#removeIf(() => true);
  }

  /** Removes and returns the queued tasks that have expired. */
  expire(now: number): tasks.Task[] {
    return this.#removeIf((task) => task.expiresAt <= now);
  }

  /** Returns the calls to make now, and counts them as running. */
  assign(now: number): tasks.Assignment[] {
    const assignments: tasks.Assignment[] = [];
    const idle = this.#queued.length > 0 ? this.#idleWorkers(now) : [];
    if (idle.length > 0) this.#sort(now);
    for (const state of idle) {
      const { selected, passedOver } = this.#selectTasks(state, now);
      if (selected.length === 0 || this.#shouldDelay(state, selected, now)) {
        continue;
      }
      this.#removeStarted(selected);
      const slowness = Math.max(1, state.slowness(now));
      const duration = this.#expectedDuration(selected.length) * slowness;
      state.startCall(selected, now + duration);
      const sizes = selected.map(({ bytes }) => bytes);
      const freePlaces = this.#traits.batch - sizes.length;
      this.#throughput.recordCall({ sizes, passedOver, freePlaces }, now);
      assignments.push({ worker: state.worker, tasks: selected });
    }
    this.#throughput.recordSaturation(
      this.#queued.length >= this.#traits.batch,
      now,
    );
    return assignments;
  }

  /** Timeout of a call, in milliseconds. */
  callTimeout(
    { tasks, worker }: tasks.Assignment,
    now: number,
  ): number {
    const state = this.#workers.get(worker.id);
    const slowness = state?.timeoutSlowness(now) ?? 1;
    return MIN_CALL_TIMEOUT_MS +
      CALL_TIMEOUT_RATIO * slowness * this.#expectedDuration(tasks.length);
  }

  /** Records that a call has completed, and the results that it gave; returns
   * the ratio of its duration to the one that the configuration gives. */
  completeCall(
    { worker, tasks }: tasks.Assignment,
    { results, duration, now }: {
      results: readonly workerStates.HeldResult[];
      duration: number;
      now: number;
    },
  ): number {
    const expected = this.#expectedDuration(tasks.length);
    const prior = Math.min(duration, MAX_FIRST_RATIO * expected);
    this.#callDuration.add(duration, { now, prior });
    const ratio = duration / expected;
    const until = now + this.#traits.keepTime;
    const state = this.#workers.get(worker.id);
    state?.completeCall(tasks, { results, until, ratio, now });
    return ratio;
  }

  /** Records that a call gave no results. `pause` is the time for which the
   * endpoint gets no calls, if it has not failed but was full. */
  failCall(
    { worker, tasks }: tasks.Assignment,
    { now, pause }: { now: number; pause?: number },
  ): void {
    this.#workers.get(worker.id)?.failCall(tasks, { now, pause });
  }

  /** Records that a call is overdue; returns whether it is to be kept. */
  startOverdue({ worker }: tasks.Assignment, now: number): boolean {
    return this.#workers.get(worker.id)?.startOverdue(now) ?? false;
  }

  /** Records the end of an overdue call, and the results that it gave; absent
   * if it was not answered. Its duration says nothing about the endpoint's
   * speed. */
  endOverdue(
    { worker, tasks }: tasks.Assignment,
    answer?: {
      readonly results: readonly workerStates.HeldResult[];
      readonly now: number;
    },
  ): void {
    const state = this.#workers.get(worker.id);
    if (answer === undefined) return state?.endOverdue(tasks);
    const { results, now } = answer;
    const until = now + this.#traits.keepTime;
    state?.endOverdue(tasks, { results, until, now });
  }

  /** Records that an endpoint rejected some items of a call for lack of memory,
   * contrary to the estimate. Returns the estimate so far, and whether at least
   * half of the call's items were rejected. */
  recordMemoryRejection(
    worker: string,
    rejection: Omit<workerStates.MemoryRejection, "room">,
    now: number,
  ): Partial<workerStates.MemoryEstimate> & { isMost: boolean } {
    const { room } = this.#traits;
    const state = this.#workers.get(worker);
    const isMost = state?.recordMemoryRejection({ ...rejection, room }, now) ??
      false;
    return { ...state?.memoryEstimate(room), isMost };
  }

  /** Records that the endpoint at an address has released results. */
  releaseResults(address: string, handles: readonly string[]): void {
    for (const state of this.#workers.values()) {
      if (state.worker.address !== address) continue;
      for (const handle of handles) state.removeResult(handle);
    }
  }

  /** When to schedule again, if tasks are queued: at the first time at which an
   * endpoint may accept a call, a task expires, or a task stops waiting for a
   * local endpoint. */
  wakeAt(now: number): number | undefined {
    if (this.#queued.length === 0) return undefined;
    const { callTime } = this.#traits;
    const times = [...this.#workers.values()]
      .flatMap((state) => state.wakeTimes(callTime, now))
      .filter((time) => time > now);
    const margin = delayScheduling.localityMargin(this.#traits);
    const firstTask = this.#queued.reduce(
      (earliest, { expiresAt, dueAt }) =>
        Math.min(
          earliest,
          expiresAt,
          dueAt - margin > now ? dueAt - margin : Infinity,
        ),
      Infinity,
    );
    return Math.min(firstTask, ...times);
  }

  /** State for the state dump. */
  dump(now: number): unknown {
    return {
      waiting: this.#queued.length,
      workers: [...this.#workers.values()].map((state) => state.dump(now)),
    };
  }

  #expectedDuration(count: number): number {
    const { callTime, itemTime } = this.#traits;
    return callTime + count * itemTime;
  }

  /** Sorts the queue by urgency. */
  #sort(now: number): void {
    const deadlines = new Map(
      this.#queued.map((task) => [task, this.#virtualDeadline(task, now)]),
    );
    this.#queued.sort((one, other) =>
      deadlines.get(one)! - deadlines.get(other)!
    );
  }

  /** Sort key of a task.
   *
   * A task that can no longer be on time must not make others late, so it is
   * treated as due only shortly before it expires. Tasks of a stage that has
   * started, and tasks with inputs, keep their priority: results of their
   * stage, or their inputs, take up memory until they are complete, and expire
   * before the late task would run. This is worth .05 of the value served in
   * bursts. */
  #virtualDeadline(task: tasks.Task, now: number): number {
    const {
      dueAt,
      expiresAt,
      rank,
      isStageStarted,
      inputs,
    } = task;
    const earliestEnd = now + this.#expectedDuration(1) - LATE_TOLERANCE_MS;
    if (dueAt >= earliestEnd || isStageStarted || inputs !== undefined) {
      return tasks.virtualDeadline(task);
    }
    const { batch } = this.#traits;
    const latestStart = expiresAt -
      RESERVED_CALL_COUNT * this.#expectedDuration(batch);
    return tasks.virtualDeadline({ dueAt: Math.max(dueAt, latestStart), rank });
  }

  /** Endpoints that can accept a call, the fastest first. */
  #idleWorkers(now: number): workerStates.WorkerState[] {
    const idle = [...this.#workers.values()].filter((state) =>
      state.isUsable(now) && state.calls < this.#traits.slots
    );
    idle.forEach((state) => state.expire(now));
    return idle.sort((one, other) => one.slowness(now) - other.slowness(now));
  }

  /** Selects the most urgent tasks that fit into one call and that may run at
   * the endpoint. `passedOver` is the task with the smallest result that was
   * not selected, if the call is not full. */
  #selectTasks(
    state: workerStates.WorkerState,
    now: number,
  ): { selected: tasks.Task[]; passedOver?: throughputs.PassedOverItem } {
    const selected: tasks.Task[] = [];
    let freeBytes = state.freeBytes(this.#traits.room, now);
    let passedOver: throughputs.PassedOverItem | undefined;
    const policy = delayScheduling.DelayScheduling.of(state, {
      workers: this.#workers.values(),
      traits: this.#traits,
      now,
    });
    for (const task of this.#queued) {
      if (selected.length >= this.#traits.batch) return { selected };
      const { bytes: size } = task;
      const fits = size <= freeBytes;
      if (fits && policy.accepts(task)) {
        selected.push(task);
        freeBytes -= size;
      } else if (size < (passedOver?.size ?? Infinity)) {
        passedOver = { size, reason: fits ? "placement" : "memory" };
      }
    }
    return { selected, passedOver };
  }

  /** Whether a small call is delayed until the endpoint has more free memory.
   * The fixed cost of a call equals that of several items, so that calls for
   * one or two items, made as memory is released, would halve the endpoint's
   * throughput. */
  #shouldDelay(
    state: workerStates.WorkerState,
    selected: readonly tasks.Task[],
    now: number,
  ): boolean {
    const { batch, callTime } = this.#traits;
    const possible = Math.min(batch, this.#queued.length);
    const isSmall = selected.length < possible * MIN_BATCH_RATIO;
    if (!isSmall || !state.hasResults) return false;
    state.batchingSince ??= now;
    return now - state.batchingSince < callTime;
  }

  /** Removes started tasks from the queue and marks the remaining tasks of
   * their stages. */
  #removeStarted(started: readonly tasks.Task[]): void {
    const startedSet = new Set(started);
    const startedStages = new Set(started.map(tasks.stageKey));
    this.#queued = this.#queued.filter((task) => !startedSet.has(task))
      .map((task) =>
        startedStages.has(tasks.stageKey(task))
          ? { ...task, isStageStarted: true }
          : task
      );
  }

  #removeIf(predicate: (task: tasks.Task) => boolean): tasks.Task[] {
    const removed = this.#queued.filter(predicate);
    if (removed.length > 0) {
      this.#queued = this.#queued.filter((task) => !predicate(task));
    }
    return removed;
  }
}

/** Minimum timeout of a call. */
const MIN_CALL_TIMEOUT_MS = 400;
/** Timeout of a call as a multiple of its expected duration. Endpoints that are
 * a few times slower than expected are still useful. */
const CALL_TIMEOUT_RATIO = 6;

/** Forecast without a usable endpoint: items wait for about the time after
 * which a failed endpoint is tried again. */
const NO_WORKER_FORECAST: Forecast = { wait: 1000, ahead: 0, rate: 0 };
