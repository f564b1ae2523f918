/** A scheduler's view of one endpoint: its running calls, its pauses after
 * failures, and the results that take up its memory.
 * @module */

import * as decayingMeans from "../runtime/decaying_mean.ts";
import * as tasks from "./task.ts";

/** Pause after a failure; doubles with each further failure up to the
 * maximum. */
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 5000;
/** Fraction of an endpoint's memory that is used, since result sizes are
 * approximate. */
const MAX_MEMORY_RATIO = 0.97;
/** Pause after a call of which items were rejected for lack of memory; doubles
 * up to the maximum while at least half of each call is rejected. Its memory is
 * then held by something else, such as results of a lost batcher, for
 * seconds. */
const MIN_REJECTION_PAUSE_MS = 60;
const MAX_REJECTION_PAUSE_MS = 480;
/** Time over which memory that results of other batchers take is assumed to
 * become free. They are held for one to two seconds, and for at most four if
 * their host is lost. Under load with faults, this serves .749 of the value; a
 * time of 1 s serves .746, of 4 s .734, and ignoring other batchers' results
 * .728. Half as many items are rejected after all batchers have been killed. */
const FOREIGN_DECAY_MS = 2000;
/** Number of times within that period at which queued items check for freed
 * memory. */
const FOREIGN_CHECK_COUNT = 20;
/** Fraction of rejected items from which a call counts as mostly rejected. */
const MOSTLY_REJECTED_RATIO = 0.5;
/** Running mean of the slowness. */
const SLOWNESS_MEAN = { gain: 0.3, freshMs: 4000, halfLifeMs: 2000 };

/** Estimate of how much of an endpoint's memory for results is in use, in
 * bytes. */
export interface MemoryEstimate {
  readonly room: number;
  readonly heldBytes: number;
  readonly reserved: number;
  /** Number of results that it holds. */
  readonly held: number;
}

/** A call of which some items were rejected for lack of memory. */
export interface MemoryRejection {
  readonly rejected: number;
  readonly pieces: number;
  /** Size of the smallest rejected item. */
  readonly bytes: number;
  /** Total size of the results that it gave. */
  readonly made: number;
  /** Total memory of the endpoint for results, in bytes. */
  readonly room: number;
}

/** A result that an endpoint holds. */
export interface HeldResult {
  readonly handle: string;
  readonly bytes: number;
}

/** Slowness of an endpoint as this host knows it, from its batchers and from what
 * endpoints announce; undefined while the endpoints of its service are about
 * equally fast. */
export type SharedSlowness = (
  endpoint: string,
  now: number,
) => number | undefined;

/** State of one endpoint. Mutable. */
export class WorkerState {
  readonly worker: tasks.Worker;
  readonly #sharedSlowness: SharedSlowness;
  /** Whether the endpoint is among those that accept calls. */
  isListed = true;
  /** Since when a small call has been delayed to wait for more memory. */
  batchingSince?: number;
  /** When the running call is expected to end. */
  #callEndsAt = 0;
  /** Running calls of this host. */
  #calls = 0;
  /** Time before which no call is made. */
  #blockedUntil = 0;
  /** Pause after the next failure. */
  #pause = MIN_PAUSE_MS;
  /** Pause after the next call that is mostly rejected. */
  #rejectionPause = MIN_REJECTION_PAUSE_MS;
  readonly #slowness = decayingMeans.DecayingMean.create(SLOWNESS_MEAN);
  /** Results that it holds, in order of expiry, since all are kept for the same
   * time. */
  readonly #results = new Map<string, { bytes: number; until: number }>();
  #heldBytes = 0;
  /** Size of the results held when the running call began. */
  #heldBytesAtStart = 0;
  /** Size of the results of other batchers, as derived from the last rejected
   * item, and the time of that rejection. */
  #foreignBytes = 0;
  #foreignSeenAt = 0;
  /** Expected size of the results of running calls and of the overdue one. */
  #reserved = 0;
  /** Whether a call is overdue that is still waited for. */
  #hasOverdueCall = false;

  private constructor(worker: tasks.Worker, sharedSlowness: SharedSlowness) {
    this.worker = worker;
    this.#sharedSlowness = sharedSlowness;
  }

  static create(
    worker: tasks.Worker,
    sharedSlowness: SharedSlowness = () => undefined,
  ): WorkerState {
    return new WorkerState(worker, sharedSlowness);
  }

  get calls(): number {
    return this.#calls;
  }

  /** Call durations relative to those that the configuration gives: the shared
   * estimate if there is one, else the mean of this batcher's own calls. */
  slowness(now: number): number {
    return this.#sharedSlowness(this.worker.id, now) ?? this.#ownSlowness(now);
  }

  /** The slowness by which calls time out. The shared estimate may only raise
   * it: an endpoint is not dead because the estimate calls it fast. */
  timeoutSlowness(now: number): number {
    return Math.max(1, this.#ownSlowness(now), this.slowness(now));
  }

  #ownSlowness(now: number): number {
    return this.#slowness.value({ now, prior: 1 });
  }

  /** Whether calls or results of it are left. */
  get isInUse(): boolean {
    return this.#calls > 0 || this.#hasOverdueCall || this.hasResults;
  }

  /** Whether the endpoint holds results. */
  get hasResults(): boolean {
    return this.#results.size > 0;
  }

  /** Whether the endpoint accepts calls and is not paused. */
  isUsable(now: number): boolean {
    return this.isListed && this.#blockedUntil <= now;
  }

  /** Free bytes of `room`, after held results, expected results of running
   * calls, and results of other batchers. */
  freeBytes(room: number, now: number): number {
    return room * MAX_MEMORY_RATIO - this.#heldBytes - this.#reserved -
      this.foreignBytes(now);
  }

  /** Estimated size of the results of other batchers: a previous owner of the
   * partition, or a second one beside this. */
  foreignBytes(now: number): number {
    const decayed = (now - this.#foreignSeenAt) / FOREIGN_DECAY_MS;
    return this.#foreignBytes * Math.max(0, 1 - decayed);
  }

  /** The current estimate of its memory. */
  memoryEstimate(room: number): MemoryEstimate {
    const { size: held } = this.#results;
    return {
      room,
      heldBytes: this.#heldBytes,
      reserved: this.#reserved,
      held,
    };
  }

  /** Times at which the endpoint may accept a call that it does not accept
   * now. */
  wakeTimes(callTime: number, now: number): number[] {
    const [firstResult] = this.#results.values();
    const delayedSince = this.batchingSince ?? -Infinity;
    const checkAt = this.foreignBytes(now) > 0
      ? now + FOREIGN_DECAY_MS / FOREIGN_CHECK_COUNT
      : 0;
    return [
      this.#blockedUntil,
      firstResult?.until ?? 0,
      delayedSince + callTime,
      checkAt,
    ];
  }

  /** When the endpoint is expected to accept its next call. A call that is
   * overdue is assumed to take at least the fixed duration of a call longer. */
  availableAt(now: number, callTime: number): number {
    const earliest = Math.max(now, this.#blockedUntil);
    if (this.#calls === 0) return earliest;
    return Math.max(
      earliest,
      now < this.#callEndsAt ? this.#callEndsAt : now + callTime,
    );
  }

  /** Records the start of a call and when it is expected to end. */
  startCall(batch: readonly tasks.Task[], endsAt: number): void {
    this.#callEndsAt = endsAt;
    this.batchingSince = undefined;
    this.#calls++;
    this.#heldBytesAtStart = this.#heldBytes;
    this.#reserved += tasks.totalBytes(batch);
  }

  /** Records a completed call, the ratio of its duration to the expected one,
   * and its results. */
  completeCall(
    batch: readonly tasks.Task[],
    { results, until, ratio, now }: {
      results: readonly HeldResult[];
      until: number;
      ratio: number;
      now: number;
    },
  ): void {
    this.#endCall(batch);
    this.#pause = MIN_PAUSE_MS;
    this.#slowness.add(ratio, { now, prior: 1 });
    this.#addResults(results, until);
  }

  /** Records that a call was not answered in time and is kept beside others: it
   * pauses the endpoint as a failure does, and its memory stays reserved, since
   * the endpoint may go on. Returns false, and changes nothing, if another call
   * is overdue already: the work of an endpoint that goes on is wasted on one
   * call at most. */
  startOverdue(now: number): boolean {
    if (this.#hasOverdueCall) return false;
    this.#hasOverdueCall = true;
    this.#calls = Math.max(0, this.#calls - 1);
    this.#pauseAfterFailure(now);
    return true;
  }

  /** Records the end of the overdue call. One that was answered shows that the
   * endpoint goes on, which ends its pause. */
  endOverdue(
    batch: readonly tasks.Task[],
    answer?: {
      readonly results: readonly HeldResult[];
      readonly until: number;
      readonly now: number;
    },
  ): void {
    this.#hasOverdueCall = false;
    this.#endReservation(batch);
    if (answer === undefined) return;
    this.#pause = MIN_PAUSE_MS;
    this.#blockedUntil = Math.min(this.#blockedUntil, answer.now);
    this.#addResults(answer.results, answer.until);
  }

  /** Records that a call gave no results, and pauses the endpoint for `pause`
   * milliseconds, or for a time that doubles with each failure. */
  failCall(
    batch: readonly tasks.Task[],
    { now, pause }: { now: number; pause?: number },
  ): void {
    this.#endCall(batch);
    if (pause === undefined) this.#pauseAfterFailure(now);
    else this.#blockedUntil = now + pause;
  }

  /** Records that items of a call were rejected for lack of memory; returns
   * whether the call was mostly rejected. Memory that this batcher's results
   * did not take when the call began is attributed to other batchers. */
  recordMemoryRejection(
    { rejected, pieces, bytes, made, room }: MemoryRejection,
    now: number,
  ): boolean {
    const ownBytes = this.#heldBytesAtStart + made + bytes / 2;
    this.#foreignBytes = Math.max(0, room - ownBytes);
    this.#foreignSeenAt = now;
    const isMostlyRejected = rejected >= MOSTLY_REJECTED_RATIO * pieces;
    if (!isMostlyRejected) this.#rejectionPause = MIN_REJECTION_PAUSE_MS;
    this.#blockedUntil = now + this.#rejectionPause;
    if (isMostlyRejected) {
      this.#rejectionPause = Math.min(
        MAX_REJECTION_PAUSE_MS,
        2 * this.#rejectionPause,
      );
    }
    return isMostlyRejected;
  }

  /** Removes a released result. */
  removeResult(handle: string): void {
    const result = this.#results.get(handle);
    if (result === undefined) return;
    this.#results.delete(handle);
    this.#heldBytes -= result.bytes;
  }

  /** Removes results that have expired. */
  expire(now: number): void {
    for (const [handle, { until }] of this.#results) {
      if (until > now) return;
      this.removeResult(handle);
    }
  }

  /** State for the state dump. */
  dump(now: number): unknown {
    return {
      ...this.worker,
      calls: this.#calls,
      slowness: this.slowness(now),
      heldBytes: this.#heldBytes,
      reserved: this.#reserved,
    };
  }

  #endCall(batch: readonly tasks.Task[]): void {
    this.#calls = Math.max(0, this.#calls - 1);
    this.#endReservation(batch);
  }

  #endReservation(batch: readonly tasks.Task[]): void {
    this.#reserved = Math.max(0, this.#reserved - tasks.totalBytes(batch));
  }

  #addResults(results: readonly HeldResult[], until: number): void {
    for (const { handle, bytes } of results) {
      this.#results.set(handle, { bytes, until });
      this.#heldBytes += bytes;
    }
  }

  #pauseAfterFailure(now: number): void {
    this.#blockedUntil = now + this.#pause;
    this.#pause = Math.min(MAX_PAUSE_MS, 2 * this.#pause);
  }
}
