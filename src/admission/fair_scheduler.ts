/** Start-time fair queueing over members that have work.
 *
 * A member carries the virtual time at which its next work starts; the one
 * with the least is served and moves on by what it is charged. Virtual time is
 * the start of what was served last, so that a member that was idle saves up
 * no credit.
 * @module */

import * as heap from "./heap.ts";

/** Something that is served in turn; the schedule sets the last three. */
export interface Entity {
  readonly name: string;
  startTag: number;
  readyPos: number;
  idlePos: number;
}

/** Members in the order in which they are served; changed in place. */
export class FairScheduler<T extends Entity> {
  #virtual = 0;
  readonly #ready = heap.Heap.create<T>(readyOrder);
  readonly #idle = heap.Heap.create<T>(idleOrder);

  private constructor() {}

  static create<T extends Entity>(): FairScheduler<T> {
    return new FairScheduler();
  }

  /** The member to be served next. */
  peek(): T | undefined {
    return this.#ready.peek();
  }

  /** The member has work; it starts now at the earliest. */
  activate(member: T): void {
    this.#idle.remove(member);
    if (member.readyPos >= 0) return;
    member.startTag = Math.max(member.startTag, this.#virtual);
    this.#ready.push(member);
  }

  /** The member has no work; what it was charged is kept for a while. */
  deactivate(member: T): void {
    this.#ready.remove(member);
    if (member.idlePos < 0) this.#idle.push(member);
  }

  /** Serves a member from `start` on and charges it. */
  serve(member: T, charge: number, start = member.startTag): void {
    this.#virtual = Math.max(this.#virtual, start);
    member.startTag = Math.max(member.startTag, this.#virtual) + charge;
    this.#ready.update(member);
    this.#idle.update(member);
  }

  /** Gives a charge back. */
  refund(member: T, charge: number): void {
    member.startTag = Math.max(this.#virtual, member.startTag - charge);
    this.#ready.update(member);
    this.#idle.update(member);
  }

  /** Takes out a member without work that virtual time has passed, since it
   * holds nothing worth keeping; with `all`, any without work. */
  removeIdle(all = false): T | undefined {
    const member = this.#idle.peek();
    if (member === undefined) return undefined;
    if (!all && member.startTag > this.#virtual) return undefined;
    return this.#idle.pop();
  }
}

/** Order of turns: least start first, then by name. */
export function compare(a: Entity, b: Entity): number {
  if (a.startTag !== b.startTag) return a.startTag - b.startTag;
  if (a.name === b.name) return 0;
  return a.name < b.name ? -1 : 1;
}

const readyOrder: heap.Order<Entity> = {
  less: (a, b) => compare(a, b) < 0,
  position: (member) => member.readyPos,
  setPosition: (member, pos) => member.readyPos = pos,
};

const idleOrder: heap.Order<Entity> = {
  less: (a, b) => a.startTag < b.startTag,
  position: (member) => member.idlePos,
  setPosition: (member, pos) => member.idlePos = pos,
};
