/** Which pieces go to which endpoint of one cell, and when.
 *
 * One scheduler sees all pieces that wait and knows which endpoint is free and
 * how much room it has left. An endpoint that gets free is given the most
 * urgent pieces that wait, from any requests, up to a full call: so calls fill
 * up under load by themselves, and nothing waits for a timer.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as fadingMeans from "../runtime/decaying_mean.ts";
import * as bookings from "./reservations.ts";
import * as pace from "./throughput.ts";
import * as suitabilities from "./delay_scheduling.ts";
import * as works from "./task.ts";
import * as workerStates from "./worker_state.ts";

/** The running mean of the time of calls: some dozens of calls, which is a
 * second or two of a busy cell. */
const WORK = { gain: 0.05, freshMs: 2000, halfLifeMs: 1000 };
/** Times of its service's figures up to which a first call is believed. */
const FIRST_WORK = 2;
/** Part of the pieces that could be in a call which make it worthwhile before
 * its endpoint has waited for as long as a call costs. */
const WORTHWHILE = 0.5;
/** Milliseconds by which a piece may be late and still go before others. */
const LATE_TOLERANCE = 100;
/** Full calls that are kept for what follows on a late piece before its caller
 * leaves: a chain has three stages or so, and an engine. */
const LATE_CALLS = 4;

/** When pieces would be begun, and what that follows from. */
export interface Forecast {
  /** Milliseconds until then. */
  readonly wait: number;
  /** Pieces that come before them: asked for, booked, or expected meanwhile. */
  readonly ahead: number;
  /** Pieces that are begun in a millisecond. */
  readonly rate: number;
}

/** Pieces and endpoints of one cell; changed in place. */
export class Scheduler {
  #traits: configurations.BatchTraits;
  readonly #workers = new Map<string, workerStates.WorkerState>();
  #waiting: works.Task[] = [];
  readonly #bookings = bookings.Reservations.create();
  readonly #pace = pace.Throughput.create();
  readonly #work = fadingMeans.DecayingMean.create(WORK);

  private constructor(traits: configurations.BatchTraits) {
    this.#traits = traits;
  }

  static create(traits: configurations.BatchTraits): Scheduler {
    return new Scheduler(traits);
  }

  /** Pieces that wait. */
  get waiting(): readonly works.Task[] {
    return this.#waiting;
  }

  /** Follows a change of the service's figures. */
  setTraits(traits: configurations.BatchTraits): void {
    this.#traits = traits;
  }

  /** Follows the endpoints that take work. One that is left out is remembered
   * with its calls and results: it may only be out of reach for a while. */
  setWorkers(workers: readonly works.Worker[]): void {
    for (const state of this.#workers.values()) state.isListed = false;
    for (const worker of workers) {
      const state = this.#workers.get(worker.id) ??
        workerStates.WorkerState.create(worker);
      state.isListed = true;
      this.#workers.set(worker.id, state);
    }
    for (
      const [id, { isListed, calls, hasResults: isHolding }] of this.#workers
    ) {
      if (!isListed && calls === 0 && !isHolding) this.#workers.delete(id);
    }
  }

  /** Milliseconds that calls take lately, with what others put into them; those
   * of a call for one piece where none was made lately. */
  callDuration(now: number): number {
    return this.#work.value({ now, prior: this.#expected(1) });
  }

  /** Milliseconds since a call was last measured; undefined before the first. */
  callDurationAge(now: number): number | undefined {
    return this.#work.age(now);
  }

  /** Notes pieces that will be asked for; says when they would be begun if they
   * were asked for now. */
  reserve(booking: bookings.Reservation, now: number): Forecast {
    this.#bookings.expire(now);
    const forecast = this.forecast(booking, now);
    this.#bookings.add(booking, now);
    return forecast;
  }

  /** Forecasts when pieces would be begun, behind all that is more urgent. */
  forecast(
    { dueAt: wanted, rank }: Pick<works.Task, "dueAt" | "rank">,
    now: number,
  ): Forecast {
    const turn = works.virtualDeadline({ dueAt: wanted, rank });
    const waiting = this.#waiting.filter((work) =>
      this.#turnOf(work, now) <= turn
    );
    const usable = [...this.#workers.values()]
      .filter((state) => state.isUsable(now));
    if (usable.length === 0) return NO_WORKER;
    const { batch, slots } = this.#traits;
    const full = this.#expected(batch);
    const nominal = usable.reduce(
      (sum, state) =>
        sum + slots * batch / (full * Math.max(1, state.slowness(now))),
      0,
    );
    const rate = this.#pace.rate(nominal, now);
    const isBusy = usable.every(({ calls }) => calls >= slots);
    // The first of so many calls under way ends then, each as likely any time.
    const first = isBusy ? full / (usable.length + 1) : 0;
    const wait = this.#bookings.estimateWait(turn, {
      waiting: waiting.length,
      rate,
      now,
    });
    return { wait: first + wait, ahead: wait * rate, rate };
  }

  /** Adds pieces. */
  add(added: readonly works.Task[]): void {
    for (const work of added) this.#bookings.remove(work);
    this.#waiting.push(...added);
  }

  /** Takes out the pieces of a request that nobody waits for any more. */
  cancelRequest(request: string): works.Task[] {
    this.#bookings.removeRequest(request);
    return this.#takeOut((work) => work.request === request);
  }

  /** Takes out all pieces that wait. */
  clear(): works.Task[] {
    return this.#takeOut(() => true);
  }

  /** Takes out the pieces that are of no use any more. */
  expire(now: number): works.Task[] {
    return this.#takeOut((work) => work.expiresAt <= now);
  }

  /** The calls that can be made now; they count as made. */
  assign(now: number): works.Assignment[] {
    const assignments: works.Assignment[] = [];
    const free = this.#waiting.length > 0 ? this.#free(now) : [];
    if (free.length > 0) this.#sort(now);
    for (const state of free) {
      const taken = this.#fill(state, now);
      if (taken.length === 0 || this.#holdsBack(state, taken, now)) continue;
      this.#remove(taken);
      const slowness = Math.max(1, state.slowness(now));
      const time = this.#expected(taken.length) * slowness;
      state.startCall(taken, now + time);
      this.#pace.recordStart(taken.length, now);
      assignments.push({ worker: state.worker, tasks: taken });
    }
    this.#pace.recordSaturation(
      this.#waiting.length >= this.#traits.batch,
      now,
    );
    return assignments;
  }

  /** Milliseconds after which a call counts as hung. */
  callTimeout(
    { tasks: called, worker }: works.Assignment,
    now: number,
  ): number {
    const state = this.#workers.get(worker.id);
    const slowness = Math.max(1, state?.slowness(now) ?? 1);
    return LEAST_PATIENCE + HANGING * slowness * this.#expected(called.length);
  }

  /** Notes the end of a call with the results it gave. */
  completeCall(
    { worker, tasks: called }: works.Assignment,
    { results, duration, now }: {
      results: readonly workerStates.HeldResult[];
      duration: number;
      now: number;
    },
  ): void {
    const expected = this.#expected(called.length);
    const prior = Math.min(duration, FIRST_WORK * expected);
    this.#work.add(duration, { now, prior });
    const ratio = duration / expected;
    const until = now + this.#traits.keepTime;
    const state = this.#workers.get(worker.id);
    state?.completeCall(called, { results, until, ratio, now });
  }

  /** Notes that a call gave nothing. `pause` says for how long the endpoint is
   * left alone, where it is not failing but full. */
  failCall(
    { worker, tasks: called }: works.Assignment,
    { now, pause }: { now: number; pause?: number },
  ): void {
    this.#workers.get(worker.id)?.failCall(called, { now, pause });
  }

  /** Notes that an endpoint had no room for some pieces of a call, whatever was
   * thought; returns what was thought, and whether those were most of it. */
  recordMemoryRejection(
    worker: string,
    full: Omit<workerStates.MemoryRejection, "room">,
    now: number,
  ): Partial<workerStates.MemoryEstimate> & { isMost: boolean } {
    const { room } = this.#traits;
    const state = this.#workers.get(worker);
    const isMost = state?.recordMemoryRejection({ ...full, room }, now) ??
      false;
    return { ...state?.memoryEstimate(room), isMost };
  }

  /** Notes that the endpoint at an address has given results up. */
  releaseResults(address: string, handles: readonly string[]): void {
    for (const state of this.#workers.values()) {
      if (state.worker.address !== address) continue;
      for (const handle of handles) state.removeResult(handle);
    }
  }

  /** When a blocked endpoint may be tried again. */
  wakeAt(now: number): number | undefined {
    if (this.#waiting.length === 0) return undefined;
    const { callTime } = this.#traits;
    const times = [...this.#workers.values()]
      .flatMap((state) => state.wakeTimes(callTime, now))
      .filter((time) => time > now);
    const patience = suitabilities.localityMargin(this.#traits);
    const first = this.#waiting.reduce(
      (least, { expiresAt: expires, dueAt: wanted }) =>
        Math.min(
          least,
          expires,
          wanted - patience > now ? wanted - patience : Infinity,
        ),
      Infinity,
    );
    return Math.min(first, ...times);
  }

  /** State for people. */
  dump(now: number): unknown {
    return {
      waiting: this.#waiting.length,
      workers: [...this.#workers.values()].map((state) => state.dump(now)),
    };
  }

  #expected(count: number): number {
    const { callTime, itemTime: pieceTime } = this.#traits;
    return callTime + count * pieceTime;
  }

  /** Puts the most urgent pieces first. */
  #sort(now: number): void {
    const turns = new Map(
      this.#waiting.map((work) => [work, this.#turnOf(work, now)]),
    );
    this.#waiting.sort((one, other) => turns.get(one)! - turns.get(other)!);
  }

  /** The time that decides a piece's turn. One that cannot be in time any more
   * must not make others late: it is wanted only before its caller leaves. But
   * results of its own stage, or those that it works on, take up room until it
   * is made, and end by themselves before that: what is begun keeps its turn.
   * In simulated bursts .05 of the worth hangs on it. */
  #turnOf(work: works.Task, now: number): number {
    const {
      dueAt: wanted,
      expiresAt: expires,
      rank,
      isStageStarted: isBegun,
      inputs,
    } = work;
    const soonest = now + this.#expected(1) - LATE_TOLERANCE;
    if (wanted >= soonest || isBegun || inputs !== undefined) {
      return works.virtualDeadline(work);
    }
    const { batch } = this.#traits;
    const last = expires - LATE_CALLS * this.#expected(batch);
    return works.virtualDeadline({ dueAt: Math.max(wanted, last), rank });
  }

  /** Endpoints that can take a call, the fastest first. */
  #free(now: number): workerStates.WorkerState[] {
    const free = [...this.#workers.values()].filter((state) =>
      state.isUsable(now) && state.calls < this.#traits.slots
    );
    free.forEach((state) => state.expire(now));
    return free.sort((one, other) => one.slowness(now) - other.slowness(now));
  }

  /** Takes the most urgent pieces that one call can hold and that may be made
   * there. */
  #fill(state: workerStates.WorkerState, now: number): works.Task[] {
    const taken = new Set<works.Task>();
    let room = state.freeBytes(this.#traits.room, now);
    const take = (suits: (work: works.Task) => boolean) => {
      for (const work of this.#waiting) {
        if (taken.size >= this.#traits.batch) return;
        if (work.bytes > room || taken.has(work) || !suits(work)) continue;
        taken.add(work);
        room -= work.bytes;
      }
    };
    const suitability = suitabilities.DelayScheduling.of(state, {
      workers: this.#workers.values(),
      traits: this.#traits,
      now,
    });
    take((work) => suitability.accepts(work));
    return [...taken];
  }

  /** Whether an endpoint waits for more of its room before it is called: each
   * call costs as much again as some pieces, so calls for one or two, as room
   * comes free, would halve what it makes. */
  #holdsBack(
    state: workerStates.WorkerState,
    taken: readonly works.Task[],
    now: number,
  ): boolean {
    const { batch, callTime } = this.#traits;
    const wanted = Math.min(batch, this.#waiting.length);
    const isSmall = taken.length < wanted * WORTHWHILE;
    if (!isSmall || !state.hasResults) return false;
    state.batchingSince ??= now;
    return now - state.batchingSince < callTime;
  }

  /** Takes out what is begun, and notes that for what waits of the same
   * stages. */
  #remove(taken: readonly works.Task[]): void {
    const gone = new Set(taken);
    const begun = new Set(taken.map(works.stageKey));
    this.#waiting = this.#waiting.filter((work) => !gone.has(work))
      .map((work) =>
        begun.has(works.stageKey(work))
          ? { ...work, isStageStarted: true }
          : work
      );
  }

  #takeOut(isOut: (work: works.Task) => boolean): works.Task[] {
    const out = this.#waiting.filter(isOut);
    if (out.length > 0) {
      this.#waiting = this.#waiting.filter((work) => !isOut(work));
    }
    return out;
  }
}

/** Milliseconds that a call may take however short its work is. */
const LEAST_PATIENCE = 400;
/** A call that takes so many times as long as it should counts as hung: slow
 * endpoints take some times as long, and are still of use. */
const HANGING = 6;

/** Pieces wait where nobody can make them until about the time at which an
 * endpoint is tried again. */
const NO_WORKER: Forecast = { wait: 1000, ahead: 0, rate: 0 };
