/** The calls of one request that are in flight at the same time. A call that is
 * silent stays open, since its endpoint may go on; another one is made beside
 * it, and the first of them that sends something is relayed.
 * @module */

import type * as attempts from "./attempt.ts";

/** Why none of the calls in flight sends anything: the last of them to end gave
 * no usable answer, or the last one that was not silent has become so. */
export type Stall = Exclude<attempts.Outcome, { type: "ended" }>;

type OpenAttempt = Pick<attempts.Attempt, "isSilent" | "cancel">;

const SILENCE: Stall = { type: "failed", cause: "silent", mayHaveRun: true };

/** Calls in flight; changed in place. */
export class OpenCalls {
  readonly #open = new Set<OpenAttempt>();
  #stall?: Stall;
  #resolve?: (stall: Stall) => void;

  private constructor() {}

  static create(): OpenCalls {
    return new OpenCalls();
  }

  get size(): number {
    return this.#open.size;
  }

  /** Whether all calls in flight are silent; true without calls. */
  get isStalled(): boolean {
    return [...this.#open].every(({ isSilent }) => isSilent);
  }

  /** Adds a call that has begun. */
  add(attempt: OpenAttempt): void {
    this.#open.add(attempt);
    this.#stall = undefined;
  }

  /** Removes a call that has ended. */
  remove(attempt: OpenAttempt): void {
    this.#open.delete(attempt);
  }

  /** Records that a call has become silent, or is still silent after a further
   * idle timeout. */
  recordSilence(): void {
    this.recordStall(SILENCE);
  }

  /** Resolves once all calls in flight are silent or have ended, anew with each
   * call that does so. */
  nextStall(): Promise<Stall> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      if (this.#stall !== undefined) this.recordStall(this.#stall);
    });
  }

  /** Cancels all calls but one that has sent something. */
  cancelOthers(attempt: OpenAttempt): void {
    for (const each of [...this.#open]) {
      if (each !== attempt) each.cancel();
    }
  }

  cancelAll(): void {
    for (const each of [...this.#open]) each.cancel();
  }

  /** Records that a call gave no usable answer; a stall if no other one sends
   * anything. */
  recordStall(stall: Stall): void {
    this.#stall = undefined;
    if (!this.isStalled) return;
    if (this.#resolve === undefined) {
      this.#stall = stall;
      return;
    }
    const resolve = this.#resolve;
    this.#resolve = undefined;
    resolve(stall);
  }
}
