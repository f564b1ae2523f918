/** Reads that wait until a majority has confirmed this host's leadership (Raft's
 * ReadIndex).
 * @module */

import type * as errors from "./errors.ts";

/** Delay before a round of heartbeats confirms waiting reads: ten times the
 * network delay, so that many reads share one round. */
export const READ_ROUND_MS = 40;

/** Timeout of a read: an election timeout, after which another leader may
 * answer. */
const READ_TIMEOUT_MS = 900;

/** A waiting read with the callbacks of its caller. */
export interface PendingRead {
  /** Start of the read, in whole milliseconds: only answers to messages sent then
   * or later confirm it. */
  readonly time: number;
  /** Commit index at the start of the read. */
  readonly index: number;
  resolve(index: number): void;
  reject(cause: errors.LogError): void;
}

/** Part of a leader's replica that confirms reads. */
export interface LeaderState {
  readonly state: { readonly termStart: number };
  isConfirmed(time: number): boolean;
}

/** Pending reads on a leader. */
export class PendingReads {
  #waiting: PendingRead[] = [];

  get size(): number {
    return this.#waiting.length;
  }

  add(read: PendingRead): void {
    this.#waiting.push(read);
  }

  /** Resolves the reads that are confirmed. */
  resolveConfirmed(leader: LeaderState): void {
    const done = this.#take((read) => leader.isConfirmed(read.time));
    const { termStart } = leader.state;
    done.forEach((read) => read.resolve(Math.max(read.index, termStart)));
  }

  /** Rejects the reads that have timed out. */
  expire(now: number, cause: errors.LogError): void {
    const done = this.#take((read) => now - read.time > READ_TIMEOUT_MS);
    done.forEach((read) => read.reject(cause));
  }

  /** Rejects all reads. */
  reject(cause: errors.LogError): void {
    this.#take(() => true).forEach((read) => read.reject(cause));
  }

  #take(isDone: (read: PendingRead) => boolean): PendingRead[] {
    const done = this.#waiting.filter(isDone);
    this.#waiting = this.#waiting.filter((read) => !isDone(read));
    return done;
  }
}
