/** Which pieces go to which endpoint of one service, and when.
 *
 * One scheduler sees all pieces that wait and knows which endpoint is free and
 * how much room it has left. An endpoint that gets free is given the most
 * urgent pieces that wait, from any requests, up to a full call: so calls fill
 * up under load by themselves, and nothing waits for a timer.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as arrivals from "./arrivals.ts";
import * as pace from "./pace.ts";

/** A piece to be made. */
export interface Work {
  readonly request: string;
  readonly stage: number;
  readonly piece: number;
  readonly key?: string;
  readonly inputs?: readonly string[];
  /** About how large the result is. */
  readonly bytes: number;
  /** When the result is of no use any more. */
  readonly expires: number;
  /** When it is wanted. */
  readonly wanted: number;
  /** 0 is the highest. */
  readonly rank: number;
  /** Where most of what it works on or gives is. */
  readonly dataCentre?: string;
  /** Bytes that cross data centres when it is made elsewhere. */
  readonly moved: number;
  readonly tries: number;
}

/** An endpoint that makes pieces. */
export interface Worker {
  readonly id: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** A call to make. */
export interface Assignment {
  readonly worker: Worker;
  readonly works: readonly Work[];
}

/** Pieces that will be asked for. */
export interface Booking {
  readonly request: string;
  readonly stage: number;
  readonly count: number;
  readonly wanted: number;
  readonly rank: number;
}

/** What a scheduler thought of an endpoint's room, in bytes. */
export interface RoomBelief {
  readonly room: number;
  readonly heldBytes: number;
  readonly reserved: number;
  /** Results that it holds. */
  readonly held: number;
}

interface WorkerState {
  worker: Worker;
  /** Whether it takes work now. */
  isListed: boolean;
  /** Calls of this host there. */
  calls: number;
  /** Not before this time. */
  blockedUntil: number;
  /** Since when it waits for more room. */
  heldBackSince?: number;
  /** Pause after the next failure. */
  rest: number;
  /** How many times slower than its service's figures. */
  slowness: number;
  /** Results that it holds, and when they end by themselves; those that end
   * first come first, since all are kept for the same time. */
  readonly held: Map<string, { bytes: number; until: number }>;
  heldBytes: number;
  /** Bytes of the results that calls under way will give. */
  reserved: number;
}

/** Milliseconds of the first pause after a failure; it doubles up to the
 * last. */
const FIRST_REST = 300;
const LAST_REST = 5000;
/** Part of an endpoint's room that is filled: sizes are approximate. */
const FILLED = 0.97;
/** Part of a new value in the running mean of a worker's slowness. */
const GAIN = 0.3;
/** Part of a new value in the running mean of the time of calls: some dozens of
 * calls, which is a second or two of a busy cell. */
const WORK_GAIN = 0.05;
/** Bytes for which a piece is made where they are while there is time: their
 * way to another data centre costs more than some wait. */
const LARGE = 200_000;
/** Part of the pieces that could be in a call which make it worthwhile before
 * its endpoint has waited for as long as a call costs. */
const WORTHWHILE = 0.5;
/** Calls' worth of time before a piece is wanted up to which it waits for an
 * endpoint where its data is. */
const PATIENT_CALLS = 4;
/** Slowness beyond which nothing waits for an endpoint. */
const SLOW = 2;
/** Steps towards the wait that agrees with what comes during it. */
const STEPS = 4;
/** Milliseconds by which a piece may be late and still go before others. */
const LATE_TOLERANCE = 100;

/** Pieces and endpoints of one service; changed in place. */
export class Scheduler {
  #traits: configurations.PieceTraits;
  readonly #workers = new Map<string, WorkerState>();
  #waiting: Work[] = [];
  readonly #bookings = new Map<string, Booking>();
  readonly #arrivals = arrivals.Arrivals.create();
  readonly #pace = pace.Pace.create();
  #work = 0;

  private constructor(traits: configurations.PieceTraits) {
    this.#traits = traits;
  }

  static create(traits: configurations.PieceTraits): Scheduler {
    return new Scheduler(traits);
  }

  /** Pieces that wait. */
  get waiting(): readonly Work[] {
    return this.#waiting;
  }

  /** Follows a change of the service's figures. */
  setTraits(traits: configurations.PieceTraits): void {
    this.#traits = traits;
  }

  /** Follows the endpoints that take work. One that is left out is remembered
   * with its calls and results: it may only be out of reach for a while. */
  setWorkers(workers: readonly Worker[]): void {
    for (const state of this.#workers.values()) state.isListed = false;
    for (const worker of workers) {
      const state = this.#workers.get(worker.id) ?? stateOf(worker);
      state.isListed = true;
      this.#workers.set(worker.id, state);
    }
    for (const [id, { isListed, calls, held }] of this.#workers) {
      if (!isListed && calls === 0 && held.size === 0) this.#workers.delete(id);
    }
  }

  /** Milliseconds that calls take lately, with what others put into them; 0
   * before the first. */
  get work(): number {
    return this.#work;
  }

  /** Notes pieces that will be asked for; says how many milliseconds they
   * would wait if they were asked for now. */
  book(booking: Booking, now: number): number {
    this.#forgetBookings(now);
    this.#arrivals.expire(now);
    const wait = this.wait(booking, now);
    this.#bookings.set(bookingKey(booking), booking);
    const { request, count } = booking;
    const allowed = keyOf(booking) - now;
    this.#arrivals.note({ request, count, allowed, at: now });
    return wait;
  }

  /** Milliseconds until pieces would be begun, behind all that is more urgent:
   * asked for, booked, or expected to come meanwhile. */
  wait({ wanted, rank }: Pick<Work, "wanted" | "rank">, now: number): number {
    const key = keyOf({ wanted, rank });
    const waiting = this.#waiting.filter((work) => keyOf(work) <= key).length;
    let booked = 0;
    for (const booking of this.#bookings.values()) {
      if (keyOf(booking) <= key) booked += booking.count;
    }
    const usable = [...this.#workers.values()].filter((state) =>
      state.isListed && state.blockedUntil <= now
    );
    const { batch, slots } = this.#traits;
    const full = this.#expected(batch);
    const nominal = usable.reduce(
      (sum, { slowness }) =>
        sum + slots * batch / (full * Math.max(1, slowness)),
      0,
    );
    if (nominal === 0) return NO_WORKER;
    const rate = this.#pace.rate(nominal, now);
    const isBusy = usable.every(({ calls }) => calls >= slots);
    let wait = (waiting + booked) / rate;
    for (let step = 0; step < STEPS; step++) {
      const coming = this.#arrivals.overtaking(key, { wait, now });
      wait = (waiting + booked + coming) / rate;
    }
    // The first of so many calls under way ends then, each as likely any time.
    return wait + (isBusy ? full / (usable.length + 1) : 0);
  }

  /** Adds pieces. */
  add(works: readonly Work[]): void {
    for (const work of works) this.#bookings.delete(bookingKey(work));
    this.#waiting.push(...works);
  }

  /** Takes out the pieces of a request that nobody waits for any more. */
  drop(request: string): Work[] {
    this.#arrivals.drop(request);
    for (const [key, booking] of this.#bookings) {
      if (booking.request === request) this.#bookings.delete(key);
    }
    return this.#takeOut((work) => work.request === request);
  }

  /** Takes out the pieces that are of no use any more. */
  expire(now: number): Work[] {
    return this.#takeOut((work) => work.expires <= now);
  }

  /** The calls that can be made now; they count as made. */
  assign(now: number): Assignment[] {
    const assignments: Assignment[] = [];
    const free = this.#waiting.length > 0 ? this.#free(now) : [];
    if (free.length > 0) this.#sort(now);
    for (const state of free) {
      const works = this.#fill(state, now);
      if (works.length === 0 || this.#holdsBack(state, works, now)) continue;
      this.#remove(works);
      state.heldBackSince = undefined;
      state.calls++;
      state.reserved += bytesOf(works);
      this.#pace.begin(works.length, now);
      assignments.push({ worker: state.worker, works });
    }
    this.#pace.note(this.#waiting.length >= this.#traits.batch, now);
    return assignments;
  }

  /** Milliseconds after which a call counts as hung. */
  patience({ works, worker }: Assignment): number {
    const state = this.#workers.get(worker.id);
    const slowness = Math.max(1, state?.slowness ?? 1);
    return LEAST_PATIENCE + HANGING * slowness * this.#expected(works.length);
  }

  /** Notes the end of a call with the results it gave. */
  finish(
    { worker, works }: Assignment,
    { handles, duration, now }: {
      handles: readonly { handle: string; bytes: number }[];
      duration: number;
      now: number;
    },
  ): void {
    const state = this.#workers.get(worker.id);
    if (state === undefined) return;
    this.#end(state, works);
    state.rest = FIRST_REST;
    this.#work += (this.#work === 0 ? 1 : WORK_GAIN) * (duration - this.#work);
    const ratio = duration / this.#expected(works.length);
    state.slowness += GAIN * (ratio - state.slowness);
    const until = now + this.#traits.keepTime;
    for (const { handle, bytes } of handles) {
      state.held.set(handle, { bytes, until });
      state.heldBytes += bytes;
    }
  }

  /** Notes that a call gave nothing. `pause` says for how long the endpoint is
   * left alone, where it is not failing but full. */
  fail(
    { worker, works }: Assignment,
    { now, pause }: { now: number; pause?: number },
  ): void {
    const state = this.#workers.get(worker.id);
    if (state === undefined) return;
    this.#end(state, works);
    state.blockedUntil = now + (pause ?? state.rest);
    if (pause === undefined) state.rest = Math.min(LAST_REST, 2 * state.rest);
  }

  /** Notes that an endpoint has no room left, whatever was thought; returns
   * what was thought. */
  noteFull(worker: string, now: number): RoomBelief | undefined {
    const state = this.#workers.get(worker);
    if (state === undefined) return undefined;
    state.blockedUntil = now + FULL_PAUSE;
    const { held, heldBytes, reserved } = state;
    return { room: this.#traits.room, heldBytes, reserved, held: held.size };
  }

  /** Notes that the endpoint at an address has given results up. */
  release(address: string, handles: readonly string[]): void {
    for (const state of this.#workers.values()) {
      if (state.worker.address !== address) continue;
      for (const handle of handles) this.#dropHandle(state, handle);
    }
  }

  /** When a blocked endpoint may be tried again. */
  wakeAt(now: number): number | undefined {
    if (this.#waiting.length === 0) return undefined;
    const times = [...this.#workers.values()].flatMap((state) => [
      state.blockedUntil,
      firstEnd(state) ?? 0,
      (state.heldBackSince ?? -Infinity) + this.#traits.callTime,
    ]).filter((time) => time > now);
    const patience = PATIENT_CALLS * this.#expected(1);
    const first = this.#waiting.reduce(
      (least, { expires, wanted }) =>
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
  dump(): unknown {
    return {
      waiting: this.#waiting.length,
      workers: [...this.#workers.values()].map((state) => ({
        ...state.worker,
        calls: state.calls,
        slowness: state.slowness,
        heldBytes: state.heldBytes,
        reserved: state.reserved,
      })),
    };
  }

  /** What was booked and did not come in time. */
  #forgetBookings(now: number): void {
    for (const [key, { wanted }] of this.#bookings) {
      if (wanted + BOOKING_MEMORY < now) this.#bookings.delete(key);
    }
  }

  #expected(count: number): number {
    const { callTime, pieceTime } = this.#traits;
    return callTime + count * pieceTime;
  }

  #end(state: WorkerState, works: readonly Work[]): void {
    state.calls = Math.max(0, state.calls - 1);
    state.reserved = Math.max(0, state.reserved - bytesOf(works));
  }

  /** Puts pieces first that can still be in time, the most urgent of them
   * first: those that cannot must not make all others late. */
  #sort(now: number): void {
    const soonest = now + this.#expected(1) - LATE_TOLERANCE;
    const late = ({ wanted }: Work) => wanted < soonest ? 1 : 0;
    this.#waiting.sort((one, other) =>
      late(one) - late(other) || keyOf(one) - keyOf(other)
    );
  }

  /** Endpoints that can take a call, the fastest first. */
  #free(now: number): WorkerState[] {
    const free = [...this.#workers.values()].filter((state) =>
      state.isListed && state.calls < this.#traits.slots &&
      state.blockedUntil <= now
    );
    free.forEach((state) => this.#forget(state, now));
    return free.sort((one, other) => one.slowness - other.slowness);
  }

  /** Takes the most urgent pieces that one call can hold: those that may be
   * made there, then, while more than a call waits, any. */
  #fill(state: WorkerState, now: number): Work[] {
    const taken = new Set<Work>();
    let room = this.#room(state);
    const take = (suits: (work: Work) => boolean) => {
      for (const work of this.#waiting) {
        if (taken.size >= this.#traits.batch) return;
        if (work.bytes > room || taken.has(work) || !suits(work)) continue;
        taken.add(work);
        room -= work.bytes;
      }
    };
    const isCrowded = this.#waiting.length > this.#traits.batch;
    take((work) => this.#suits(state, work, now));
    if (isCrowded) take(() => true);
    return [...taken];
  }

  /** Whether an endpoint waits for more of its room before it is called: each
   * call costs as much again as some pieces, so calls for one or two, as room
   * comes free, would halve what it makes. */
  #holdsBack(
    state: WorkerState,
    works: readonly Work[],
    now: number,
  ): boolean {
    const { batch, callTime } = this.#traits;
    const wanted = Math.min(batch, this.#waiting.length);
    const isSmall = works.length < wanted * WORTHWHILE;
    if (!isSmall || state.held.size === 0) return false;
    state.heldBackSince ??= now;
    return now - state.heldBackSince < callTime;
  }

  #remove(works: readonly Work[]): void {
    const taken = new Set(works);
    this.#waiting = this.#waiting.filter((work) => !taken.has(work));
  }

  /** Whether a piece may be made there: one that moves much waits a little for
   * an endpoint where its data is, while there is time. */
  #suits({ worker }: WorkerState, work: Work, now: number): boolean {
    const { dataCentre, moved, wanted } = work;
    if (moved < LARGE || dataCentre === undefined) return true;
    if (worker.dataCentre === dataCentre) return true;
    const isThere = [...this.#workers.values()].some((state) =>
      state.isListed && state.worker.dataCentre === dataCentre &&
      state.blockedUntil <= now && state.slowness < SLOW
    );
    return !isThere || wanted - now < PATIENT_CALLS * this.#expected(1);
  }

  #room(state: WorkerState): number {
    return this.#traits.room * FILLED - state.heldBytes - state.reserved;
  }

  #forget(state: WorkerState, now: number): void {
    for (const [handle, { until }] of state.held) {
      if (until > now) return;
      this.#dropHandle(state, handle);
    }
  }

  #dropHandle(state: WorkerState, handle: string): void {
    const held = state.held.get(handle);
    if (held === undefined) return;
    state.held.delete(handle);
    state.heldBytes -= held.bytes;
  }

  #takeOut(isOut: (work: Work) => boolean): Work[] {
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
/** Milliseconds after which an endpoint without room is asked again. */
const FULL_PAUSE = 60;

function stateOf(worker: Worker): WorkerState {
  return {
    worker,
    isListed: true,
    calls: 0,
    blockedUntil: 0,
    rest: FIRST_REST,
    slowness: 1,
    held: new Map(),
    heldBytes: 0,
    reserved: 0,
  };
}

/** When the first of its results ends by itself. */
function firstEnd({ held }: WorkerState): number | undefined {
  const [first] = held.values();
  return first?.until;
}

function bytesOf(works: readonly Work[]): number {
  return works.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Milliseconds by which a rank lets a piece wait behind those of the rank
 * above: a few calls, so that the higher goes first where time is short and
 * the lower is not passed over for long. */
const RANK_DELAY = 400;
/** Milliseconds after which pieces that were booked are not expected. */
const BOOKING_MEMORY = 1000;
/** Milliseconds that pieces wait where nobody can make them: about until an
 * endpoint is tried again. */
const NO_WORKER = 1000;

function keyOf({ wanted, rank }: Pick<Work, "wanted" | "rank">): number {
  return wanted + rank * RANK_DELAY;
}

function bookingKey(
  { request, stage }: Pick<Booking, "request" | "stage">,
): string {
  return `${request}/${stage}`;
}
