/** Commands on their way through a leader, and who waits for them.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import type * as entries from "./entries.ts";
import type * as errors from "./errors.ts";

/** A command whose proposer waits. */
export interface Proposal<Reply> {
  readonly command: schema.Command;
  resolve(reply: Reply): void;
  reject(cause: errors.LogError): void;
}

interface Appended<Reply> extends Proposal<Reply> {
  readonly term: number;
}

/** Proposals: waiting for a write, then taken into a step, then appended. */
export class Proposals<Reply> {
  #waiting: Proposal<Reply>[] = [];
  #taken: readonly Proposal<Reply>[] = [];
  readonly #appended = new Map<number, Appended<Reply>>();

  /** Adds one; returns whether it is the first that waits. */
  add(proposal: Proposal<Reply>): boolean {
    this.#waiting.push(proposal);
    return this.#waiting.length === 1;
  }

  /** Takes all that wait; `append` or `refuse` must follow. */
  take(): schema.Command[] {
    this.#taken = this.#waiting;
    this.#waiting = [];
    return this.#taken.map(({ command }) => command);
  }

  /** Notes that what was taken stands from `index` on. */
  append(index: number, term: number): void {
    this.#taken.forEach((proposal, pos) => {
      this.#appended.set(index + pos, { ...proposal, term });
    });
  }

  /** Answers what was taken: it was not appended. */
  rejectTaken(cause: errors.LogError): void {
    this.#taken.forEach(({ reject }) => reject(cause));
  }

  /** Answers the proposal that was committed. */
  resolve(position: entries.Position, reply: Reply): void {
    const proposal = this.#appended.get(position.index);
    if (proposal?.term !== position.term) return;
    this.#appended.delete(position.index);
    proposal.resolve(reply);
  }

  /** Answers what was not taken yet. */
  rejectWaiting(cause: errors.LogError): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(({ reject }) => reject(cause));
  }

  /** Answers what was appended and not seen committed. */
  rejectAppended(cause: errors.LogError): void {
    const appended = [...this.#appended.values()];
    this.#appended.clear();
    appended.forEach(({ reject }) => reject(cause));
  }
}
