/** Pending proposals of commands on one host.
 * @module */

import type * as schema from "../../schema/log_types.ts";
import type * as entries from "./entries.ts";
import type * as errors from "./errors.ts";

/** A proposed command with the callbacks of its proposer. */
export interface Proposal<Reply> {
  readonly command: schema.Command;
  resolve(reply: Reply): void;
  reject(cause: errors.LogError): void;
}

interface Appended<Reply> extends Proposal<Reply> {
  readonly term: number;
}

/** Pending proposals. A proposal waits for the current write, is taken into a
 * step of the replica, and is then either appended to the log or rejected. */
export class Proposals<Reply> {
  #waiting: Proposal<Reply>[] = [];
  #taken: readonly Proposal<Reply>[] = [];
  readonly #appended = new Map<number, Appended<Reply>>();

  /** Adds a proposal. Returns whether it is the only one waiting. */
  add(proposal: Proposal<Reply>): boolean {
    this.#waiting.push(proposal);
    return this.#waiting.length === 1;
  }

  /** Takes all waiting proposals; `append` or `rejectTaken` must follow. */
  take(): schema.Command[] {
    this.#taken = this.#waiting;
    this.#waiting = [];
    return this.#taken.map(({ command }) => command);
  }

  /** Records that the taken proposals were appended from `index` on. */
  append(index: number, term: number): void {
    this.#taken.forEach((proposal, pos) => {
      this.#appended.set(index + pos, { ...proposal, term });
    });
  }

  /** Rejects the taken proposals, which were not appended. */
  rejectTaken(cause: errors.LogError): void {
    this.#taken.forEach(({ reject }) => reject(cause));
  }

  /** Resolves the proposal that was committed at `position`, if the entry of that
   * term is its own. */
  resolve(position: entries.Position, reply: Reply): void {
    const proposal = this.#appended.get(position.index);
    if (proposal?.term !== position.term) return;
    this.#appended.delete(position.index);
    proposal.resolve(reply);
  }

  /** Rejects the proposals that are still waiting. */
  rejectWaiting(cause: errors.LogError): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(({ reject }) => reject(cause));
  }

  /** Rejects the proposals that were appended but are not known to be
   * committed. */
  rejectAppended(cause: errors.LogError): void {
    const appended = [...this.#appended.values()];
    this.#appended.clear();
    appended.forEach(({ reject }) => reject(cause));
  }
}
