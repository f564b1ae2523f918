/** One endpoint as its scheduler sees it: its calls, its pauses after failures,
 * and the results that take up its room.
 * @module */

import * as fadingMeans from "../runtime/decaying_mean.ts";
import * as works from "./task.ts";

/** Milliseconds of the first pause after a failure; it doubles up to the
 * last. */
const FIRST_REST = 300;
const LAST_REST = 5000;
/** Part of its room that is filled: sizes are approximate. */
const FILLED = 0.97;
/** Milliseconds of the pause after a call of which it had no room for a piece;
 * it doubles up to the last while most of each call finds none: something else
 * holds its room, such as results of a batcher that was lost, for seconds. */
const FIRST_FULL = 60;
const LAST_FULL = 480;
/** Milliseconds over which room that others' results take is believed to come
 * free: they are held for one to two seconds, and at the most for the four that
 * results of a lost host are kept. In simulated loads with faults .749 of the
 * worth is served so, .746 over 1 s, .734 over 4 s, and .728 where what others
 * hold is not known; half as many pieces find no room after a kill of all. */
const FADE = 2000;
/** Looks at room that comes free so, while pieces wait for it. */
const FADE_LOOKS = 20;
/** Part of the pieces of a call from which on most of it found no room. */
const MOSTLY = 0.5;
/** The running mean of its slowness. */
const SLOWNESS = { gain: 0.3, freshMs: 4000, halfLifeMs: 2000 };

/** What was thought of an endpoint's room, in bytes. */
export interface MemoryEstimate {
  readonly room: number;
  readonly heldBytes: number;
  readonly reserved: number;
  /** Results that it holds. */
  readonly held: number;
}

/** A call of which some pieces found no room. */
export interface MemoryRejection {
  readonly rejected: number;
  readonly pieces: number;
  /** Size of the smallest one that found none. */
  readonly bytes: number;
  /** Bytes of the results that it gave. */
  readonly made: number;
  /** Bytes of the endpoint's room. */
  readonly room: number;
}

/** A result that an endpoint holds. */
export interface HeldResult {
  readonly handle: string;
  readonly bytes: number;
}

/** One endpoint; changed in place. */
export class WorkerState {
  readonly worker: works.Worker;
  /** Whether it takes work now. */
  isListed = true;
  /** Since when it waits for more room. */
  batchingSince?: number;
  /** When its call under way is expected to end. */
  #callEnds = 0;
  /** Calls of this host there. */
  #calls = 0;
  /** No calls before this time. */
  #blockedUntil = 0;
  /** Pause after the next failure. */
  #rest = FIRST_REST;
  /** Pause after the next call that mostly finds no room. */
  #fullPause = FIRST_FULL;
  readonly #slowness = fadingMeans.DecayingMean.create(SLOWNESS);
  /** Results that it holds, and when they end by themselves; those that end
   * first come first, since all are kept for the same time. */
  readonly #held = new Map<string, { bytes: number; until: number }>();
  #heldBytes = 0;
  /** Bytes held when the call under way began. */
  #heldBefore = 0;
  /** Bytes of results that are not this batcher's, as last shown by a piece
   * that found no room, and when. */
  #foreign = 0;
  #foreignAt = 0;
  /** Bytes of the results that calls under way will give. */
  #reserved = 0;

  private constructor(worker: works.Worker) {
    this.worker = worker;
  }

  static create(worker: works.Worker): WorkerState {
    return new WorkerState(worker);
  }

  get calls(): number {
    return this.#calls;
  }

  /** How many times slower it is than its service's figures. */
  slowness(now: number): number {
    return this.#slowness.value({ now, prior: 1 });
  }

  /** Whether it holds results. */
  get hasResults(): boolean {
    return this.#held.size > 0;
  }

  /** Whether it takes work and does not rest. */
  isUsable(now: number): boolean {
    return this.isListed && this.#blockedUntil <= now;
  }

  /** Bytes that are free of so many, with what calls under way will give and
   * what is there of others. */
  freeBytes(room: number, now: number): number {
    return room * FILLED - this.#heldBytes - this.#reserved -
      this.foreignBytes(now);
  }

  /** Bytes that results of others are believed to take: those of a batcher
   * before this one, or of one beside it. */
  foreignBytes(now: number): number {
    const faded = (now - this.#foreignAt) / FADE;
    return this.#foreign * Math.max(0, 1 - faded);
  }

  /** What is thought of its room. */
  memoryEstimate(room: number): MemoryEstimate {
    const { size: held } = this.#held;
    return {
      room,
      heldBytes: this.#heldBytes,
      reserved: this.#reserved,
      held,
    };
  }

  /** Times at which it may take a call again that it does not take now. */
  wakeTimes(callTime: number, now: number): number[] {
    const [first] = this.#held.values();
    const since = this.batchingSince ?? -Infinity;
    const look = this.foreignBytes(now) > 0 ? now + FADE / FADE_LOOKS : 0;
    return [this.#blockedUntil, first?.until ?? 0, since + callTime, look];
  }

  /** When it is expected to take another call; one that is overdue may take as
   * long again as a call at least takes. */
  availableAt(now: number, callTime: number): number {
    const free = Math.max(now, this.#blockedUntil);
    if (this.#calls === 0) return free;
    return Math.max(
      free,
      now < this.#callEnds ? this.#callEnds : now + callTime,
    );
  }

  /** Notes a call that is expected to end at a time. */
  startCall(called: readonly works.Task[], ends: number): void {
    this.#callEnds = ends;
    this.batchingSince = undefined;
    this.#calls++;
    this.#heldBefore = this.#heldBytes;
    this.#reserved += works.totalBytes(called);
  }

  /** Notes the end of a call that took `ratio` times as long as it should, and
   * the results that it gave. */
  completeCall(
    called: readonly works.Task[],
    { results, until, ratio, now }: {
      results: readonly HeldResult[];
      until: number;
      ratio: number;
      now: number;
    },
  ): void {
    this.#end(called);
    this.#rest = FIRST_REST;
    this.#slowness.add(ratio, { now, prior: 1 });
    for (const { handle, bytes } of results) {
      this.#held.set(handle, { bytes, until });
      this.#heldBytes += bytes;
    }
  }

  /** Notes that a call gave nothing; it rests for `pause` milliseconds, or for
   * longer with each failure. */
  failCall(
    called: readonly works.Task[],
    { now, pause }: { now: number; pause?: number },
  ): void {
    this.#end(called);
    this.#blockedUntil = now + (pause ?? this.#rest);
    if (pause === undefined) this.#rest = Math.min(LAST_REST, 2 * this.#rest);
  }

  /** Notes that it had no room for some of a call's pieces; says whether that
   * was most of them. What was not this batcher's when the call began is of
   * others. */
  recordMemoryRejection(
    { rejected, pieces, bytes, made, room }: MemoryRejection,
    now: number,
  ): boolean {
    const own = this.#heldBefore + made + bytes / 2;
    this.#foreign = Math.max(0, room - own);
    this.#foreignAt = now;
    const isMost = rejected >= MOSTLY * pieces;
    if (!isMost) this.#fullPause = FIRST_FULL;
    this.#blockedUntil = now + this.#fullPause;
    if (isMost) this.#fullPause = Math.min(LAST_FULL, 2 * this.#fullPause);
    return isMost;
  }

  /** Notes that it has given a result up. */
  removeResult(handle: string): void {
    const held = this.#held.get(handle);
    if (held === undefined) return;
    this.#held.delete(handle);
    this.#heldBytes -= held.bytes;
  }

  /** Forgets results that have ended by themselves. */
  expire(now: number): void {
    for (const [handle, { until }] of this.#held) {
      if (until > now) return;
      this.removeResult(handle);
    }
  }

  /** State for people. */
  dump(now: number): unknown {
    return {
      ...this.worker,
      calls: this.#calls,
      slowness: this.slowness(now),
      heldBytes: this.#heldBytes,
      reserved: this.#reserved,
    };
  }

  #end(called: readonly works.Task[]): void {
    this.#calls = Math.max(0, this.#calls - 1);
    this.#reserved = Math.max(0, this.#reserved - works.totalBytes(called));
  }
}
