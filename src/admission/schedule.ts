/** Start-time fair queueing over members that have work.
 *
 * A member carries the virtual time at which its next work starts; the one
 * with the least is served and moves on by what it is charged. Virtual time is
 * the start of what was served last, so that a member that was idle saves up
 * no credit.
 * @module */

import * as heap from "./heap.ts";

/** Something that is served in turn; the schedule sets the last three. */
export interface Member {
  readonly name: string;
  start: number;
  readyPos: number;
  idlePos: number;
}

/** Members in the order in which they are served; changed in place. */
export class Schedule<T extends Member> {
  #virtual = 0;
  readonly #ready = heap.Heap.create<T>(readyOrder);
  readonly #idle = heap.Heap.create<T>(idleOrder);

  private constructor() {}

  static create<T extends Member>(): Schedule<T> {
    return new Schedule();
  }

  /** The member to be served next. */
  peek(): T | undefined {
    return this.#ready.peek();
  }

  /** The member has work; it starts now at the earliest. */
  begin(member: T): void {
    this.#idle.remove(member);
    if (member.readyPos >= 0) return;
    member.start = Math.max(member.start, this.#virtual);
    this.#ready.push(member);
  }

  /** The member has no work; what it was charged is kept for a while. */
  end(member: T): void {
    this.#ready.remove(member);
    if (member.idlePos < 0) this.#idle.push(member);
  }

  /** Serves a member from `start` on and charges it. */
  serve(member: T, charge: number, start = member.start): void {
    this.#virtual = Math.max(this.#virtual, start);
    member.start = Math.max(member.start, this.#virtual) + charge;
    this.#ready.update(member);
    this.#idle.update(member);
  }

  /** Gives a charge back. */
  refund(member: T, charge: number): void {
    member.start = Math.max(this.#virtual, member.start - charge);
    this.#ready.update(member);
    this.#idle.update(member);
  }

  /** Takes out a member without work that virtual time has passed, since it
   * holds nothing worth keeping; with `all`, any without work. */
  forget(all = false): T | undefined {
    const member = this.#idle.peek();
    if (member === undefined) return undefined;
    if (!all && member.start > this.#virtual) return undefined;
    return this.#idle.pop();
  }
}

/** Order of turns: least start first, then by name. */
export function compare(a: Member, b: Member): number {
  if (a.start !== b.start) return a.start - b.start;
  if (a.name === b.name) return 0;
  return a.name < b.name ? -1 : 1;
}

const readyOrder: heap.Order<Member> = {
  less: (a, b) => compare(a, b) < 0,
  position: (member) => member.readyPos,
  place: (member, pos) => member.readyPos = pos,
};

const idleOrder: heap.Order<Member> = {
  less: (a, b) => a.start < b.start,
  position: (member) => member.idlePos,
  place: (member, pos) => member.idlePos = pos,
};
