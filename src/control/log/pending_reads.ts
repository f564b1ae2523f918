/** Reads that wait until a majority has confirmed the leader.
 * @module */

import type * as errors from "./errors.ts";

/** Milliseconds over which reads gather before a majority is asked: ten times a
 * link's delay, so that many readers share one round. */
export const READ_ROUND_MS = 40;

/** Milliseconds after which a read is given up: an election timeout, after
 * which another leader may answer. */
const PATIENCE = 900;

/** A read, and who waits for it. */
export interface PendingRead {
  /** Whole millisecond; answers to messages sent then or later count. */
  readonly time: number;
  /** Index committed when it was asked. */
  readonly index: number;
  resolve(index: number): void;
  reject(cause: errors.LogError): void;
}

/** What tells whether a read is confirmed. */
export interface LeaderState {
  readonly state: { readonly termStart: number };
  isConfirmed(time: number): boolean;
}

/** Reads under way on one leader; changed in place. */
export class PendingReads {
  #waiting: PendingRead[] = [];

  get size(): number {
    return this.#waiting.length;
  }

  add(read: PendingRead): void {
    this.#waiting.push(read);
  }

  /** Answers what is confirmed by now. */
  settle(leader: LeaderState): void {
    const done = this.#take((read) => leader.isConfirmed(read.time));
    const { termStart } = leader.state;
    done.forEach((read) => read.resolve(Math.max(read.index, termStart)));
  }

  /** Gives up what has waited for too long. */
  expire(now: number, cause: errors.LogError): void {
    const done = this.#take((read) => now - read.time > PATIENCE);
    done.forEach((read) => read.reject(cause));
  }

  /** Gives all up. */
  reject(cause: errors.LogError): void {
    this.#take(() => true).forEach((read) => read.reject(cause));
  }

  #take(isDone: (read: PendingRead) => boolean): PendingRead[] {
    const done = this.#waiting.filter(isDone);
    this.#waiting = this.#waiting.filter((read) => !isDone(read));
    return done;
  }
}
