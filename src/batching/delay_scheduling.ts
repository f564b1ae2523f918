/** Delay scheduling: decides whether a task runs at an idle endpoint or waits
 * for another one, which is faster or in the data centre of the task's data, as
 * long as the task is on time there.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as tasks from "./task.ts";
import type * as workerStates from "./worker_state.ts";

/** Transfer size from which a task waits for an endpoint in the data centre of
 * its data, as long as there is time: a smaller transfer costs less than the
 * wait. */
export const MIN_TRANSFER_BYTES = 200_000;
/** Durations of a full call that must remain when a task that has waited for a
 * local endpoint starts: one for its own call and one as reserve. Compared with
 * a fixed waiting time, a quarter less data crosses data centres and as much is
 * on time; at 1.3, another third less crosses, but .03 of the value is late. */
const LOCALITY_CALL_COUNT = 2;
/** Slowness from which an endpoint is not waited for. */
const MAX_SLOWNESS_RATIO = 2;
/** Factor by which an endpoint must be faster than the idle one to be waited
 * for: durations at equal endpoints differ by 10 to 20 %. */
const MIN_SPEEDUP_RATIO = 1.5;

/** The state that a decision depends on. */
export interface DelaySchedulingOptions {
  /** All endpoints of the partition. */
  readonly workers: Iterable<workerStates.WorkerState>;
  readonly traits: configurations.BatchTraits;
  readonly now: number;
}

/** Decides for one idle endpoint, task by task. Tasks must be passed in order
 * of urgency, since those passed before take up other endpoints. */
export class DelayScheduling {
  readonly #state: workerStates.WorkerState;
  readonly #usable: readonly workerStates.WorkerState[];
  readonly #traits: configurations.BatchTraits;
  readonly #now: number;
  /** When a full call would end at the idle endpoint, and at the first
   * available one of the faster endpoints; infinite if there is none. */
  readonly #endsAt: number;
  readonly #fasterEndsAt: number;
  readonly #fasterCount: number;
  /** Number of tasks passed so far, in total and by data centre. */
  #passed = 0;
  readonly #passedByDataCentre = new Map<string, number>();

  private constructor(
    state: workerStates.WorkerState,
    { workers, traits, now }: DelaySchedulingOptions,
  ) {
    this.#state = state;
    this.#traits = traits;
    this.#now = now;
    this.#usable = [...workers].filter((each) => each.isUsable(now));
    const slowness = Math.max(1, state.slowness(now));
    const faster = this.#usable.filter((each) =>
      each.slowness(now) * MIN_SPEEDUP_RATIO < slowness
    );
    const fullCall = fullCallDuration(traits);
    this.#endsAt = now + fullCall * slowness;
    this.#fasterCount = faster.length;
    this.#fasterEndsAt = this.#earliestAvailable(faster) + fullCall;
  }

  static of(
    state: workerStates.WorkerState,
    options: DelaySchedulingOptions,
  ): DelayScheduling {
    return new DelayScheduling(state, options);
  }

  /** Whether a task should run at the idle endpoint. */
  accepts(task: tasks.Task): boolean {
    const isFastEnough = !this.#isOnTimeAtFaster(task);
    const isLocalEnough = !this.#waitsForLocal(task);
    return isFastEnough && isLocalEnough;
  }

  /** Whether a task would be late here and on time at a faster endpoint, behind
   * the more urgent ones. In overload with one endpoint that is four times
   * slower, this serves .02 more of the value; under usual load with faults,
   * .004 more. */
  #isOnTimeAtFaster({ dueAt }: tasks.Task): boolean {
    const passed = this.#passed++;
    if (this.#fasterCount === 0 || this.#endsAt <= dueAt) return false;
    const calls = Math.floor(passed / (this.#traits.batch * this.#fasterCount));
    return this.#fasterEndsAt + calls * fullCallDuration(this.#traits) <= dueAt;
  }

  /** Whether a task with a large transfer waits for an endpoint in the data
   * centre of its data, since it would be on time there behind the more urgent
   * ones. */
  #waitsForLocal(
    { dataCentre = "", transferBytes, dueAt }: tasks.Task,
  ): boolean {
    const passed = this.#passedByDataCentre.get(dataCentre) ?? 0;
    this.#passedByDataCentre.set(dataCentre, passed + 1);
    if (transferBytes < MIN_TRANSFER_BYTES || dataCentre === "") return false;
    if (this.#state.worker.dataCentre === dataCentre) return false;
    const local = this.#usable.filter((each) =>
      each.worker.dataCentre === dataCentre &&
      each.slowness(this.#now) < MAX_SLOWNESS_RATIO
    );
    if (local.length === 0) return false;
    const calls = Math.floor(passed / (this.#traits.batch * local.length));
    const startsAt = this.#earliestAvailable(local) +
      calls * fullCallDuration(this.#traits);
    return startsAt + localityMargin(this.#traits) <= dueAt;
  }

  #earliestAvailable(states: readonly workerStates.WorkerState[]): number {
    const { callTime } = this.#traits;
    return Math.min(
      Infinity,
      ...states.map((state) => state.availableAt(this.#now, callTime)),
    );
  }
}

/** Milliseconds that must remain until a task is due when it starts at an
 * endpoint that it has waited for. */
export function localityMargin(traits: configurations.BatchTraits): number {
  return LOCALITY_CALL_COUNT * fullCallDuration(traits);
}

function fullCallDuration(
  { callTime, itemTime, batch }: configurations.BatchTraits,
): number {
  return callTime + batch * itemTime;
}
