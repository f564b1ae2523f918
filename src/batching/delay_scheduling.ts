/** Whether a waiting piece is given to an endpoint that is free, or left for
 * another one that is better for it and gets free in time.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as works from "./task.ts";
import type * as workerStates from "./worker_state.ts";

/** Bytes for which a piece is made where they are while there is time: their
 * way to another data centre costs more than some wait. */
const LARGE = 200_000;
/** Full calls' worth of time that must be left when a piece is begun for which
 * an endpoint where its data is was waited for: its own call, and as much again
 * for what is slower than expected. In simulated loads a quarter less crosses
 * data centres than where pieces wait by a fixed time, and as much is in time;
 * at 1.3 another third less crosses, and .03 of the worth is late. */
const PATIENT_CALLS = 2;
/** Slowness beyond which nothing waits for an endpoint. */
const SLOW = 2;
/** Times as fast as the free endpoint that one must be to be waited for: calls
 * of equal endpoints differ by a tenth or two. */
const FASTER = 1.5;

/** What a choice goes by. */
export interface DelaySchedulingOptions {
  /** All endpoints of the cell. */
  readonly workers: Iterable<workerStates.WorkerState>;
  readonly traits: configurations.BatchTraits;
  readonly now: number;
}

/** One free endpoint, beside those that pieces may be left for; asked piece by
 * piece, the most urgent first. */
export class DelayScheduling {
  readonly #state: workerStates.WorkerState;
  readonly #usable: readonly workerStates.WorkerState[];
  readonly #traits: configurations.BatchTraits;
  readonly #now: number;
  /** When a full call there would end, and one at the first of the faster
   * endpoints; endless without one. */
  readonly #ends: number;
  readonly #fasterEnds: number;
  readonly #faster: number;
  /** Pieces that were asked for before, in all and by data centre. */
  #before = 0;
  readonly #beforeAt = new Map<string, number>();

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
      each.slowness(now) * FASTER < slowness
    );
    const full = fullCall(traits);
    this.#ends = now + full * slowness;
    this.#faster = faster.length;
    this.#fasterEnds = this.#firstFree(faster) + full;
  }

  static of(
    state: workerStates.WorkerState,
    options: DelaySchedulingOptions,
  ): DelayScheduling {
    return new DelayScheduling(state, options);
  }

  /** Whether the endpoint is to make a piece. */
  accepts(work: works.Task): boolean {
    const isSooner = !this.#isSavedByFaster(work);
    const isNear = !this.#waitsForData(work);
    return isSooner && isNear;
  }

  /** Whether a piece would be late here and in time at a faster endpoint,
   * behind the more urgent ones. In simulated overloads with an endpoint that is
   * four times slower .02 more of the worth is served so, and .004 in the usual
   * loads with faults. */
  #isSavedByFaster({ dueAt: wanted }: works.Task): boolean {
    const before = this.#before++;
    if (this.#faster === 0 || this.#ends <= wanted) return false;
    const calls = Math.floor(before / (this.#traits.batch * this.#faster));
    return this.#fasterEnds + calls * fullCall(this.#traits) <= wanted;
  }

  /** Whether a piece that moves much waits for an endpoint where its data is,
   * as long as it is in time there behind the more urgent ones. */
  #waitsForData(
    { dataCentre = "", transferBytes: moved, dueAt: wanted }: works.Task,
  ): boolean {
    const before = this.#beforeAt.get(dataCentre) ?? 0;
    this.#beforeAt.set(dataCentre, before + 1);
    if (moved < LARGE || dataCentre === "") return false;
    if (this.#state.worker.dataCentre === dataCentre) return false;
    const there = this.#usable.filter((each) =>
      each.worker.dataCentre === dataCentre && each.slowness(this.#now) < SLOW
    );
    if (there.length === 0) return false;
    const calls = Math.floor(before / (this.#traits.batch * there.length));
    const begins = this.#firstFree(there) + calls * fullCall(this.#traits);
    return begins + localityMargin(this.#traits) <= wanted;
  }

  #firstFree(states: readonly workerStates.WorkerState[]): number {
    const { callTime } = this.#traits;
    return Math.min(
      Infinity,
      ...states.map((state) => state.availableAt(this.#now, callTime)),
    );
  }
}

/** Milliseconds that must be left of a piece's time when it is begun at an
 * endpoint that it has waited for. */
export function localityMargin(traits: configurations.BatchTraits): number {
  return PATIENT_CALLS * fullCall(traits);
}

function fullCall(
  { callTime, itemTime: pieceTime, batch }: configurations.BatchTraits,
): number {
  return callTime + batch * pieceTime;
}
