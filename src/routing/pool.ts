/** Endpoints of one service, role and data centre, kept apart by whether they
 * have room, so that a random one with room is found at once.
 * @module */

import type * as event from "../request/event.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as load from "./load_estimate.ts";

/** An endpoint with what routing knows of it. */
export interface Member {
  endpoint: event.Endpoint;
  load: load.LoadEstimate;
  /** Share of KV memory in use, as last reported. */
  kvUsed: number;
  /** Calls of others, as last reported. */
  otherHostCalls: number;
  pool: Pool | undefined;
  available: boolean;
  pos: number;
}

/** Members that may be chosen; changed in place. */
export class Pool {
  /** Whether it is in the host's own data centre. */
  readonly isLocal: boolean;
  /** Milliseconds to its endpoints and back. */
  readonly latency: number;
  #open: Member[] = [];
  #closed: Member[] = [];
  #cursor = 0;

  private constructor(near: boolean, latency: number) {
    this.isLocal = near;
    this.latency = latency;
  }

  /** A pool without members. */
  static create(near: boolean, latency: number): Pool {
    return new Pool(near, latency);
  }

  /** Members with room when last looked at. */
  get available(): readonly Member[] {
    return this.#open;
  }

  /** Members with and without room. */
  get size(): number {
    return this.#open.length + this.#closed.length;
  }

  /** Adds a member that is in no pool. */
  add(member: Member): void {
    member.pool = this;
    member.available = true;
    member.pos = this.#open.push(member) - 1;
  }

  /** Removes one of its members. */
  remove(member: Member): void {
    this.#take(member);
    member.pool = undefined;
  }

  /** Notes whether one of its members has room. */
  setAvailable(member: Member, open: boolean): void {
    if (member.available === open) return;
    this.#take(member);
    member.available = open;
    member.pos = this.#list(open).push(member) - 1;
  }

  /** A random member with room; undefined when there is none. */
  sample(random: runtime.Random): Member | undefined {
    return this.#open[random.below(this.#open.length)];
  }

  /** A member without room, another one each time, to be looked at again. */
  nextUnavailable(): Member | undefined {
    if (this.#closed.length === 0) return undefined;
    this.#cursor = (this.#cursor + 1) % this.#closed.length;
    return this.#closed[this.#cursor];
  }

  #take(member: Member): void {
    const list = this.#list(member.available);
    const last = list.pop();
    if (last === undefined || last === member) return;
    list[member.pos] = last;
    last.pos = member.pos;
  }

  #list(open: boolean): Member[] {
    return open ? this.#open : this.#closed;
  }
}
