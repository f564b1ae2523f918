/** Endpoints of one service, role and data centre. Available and unavailable
 * ones are in separate lists, so that a random available one is found in O(1).
 * @module */

import type * as event from "../request/event.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as loadEstimate from "./load_estimate.ts";

/** An endpoint with its routing state. */
export interface Member {
  endpoint: event.Endpoint;
  load: loadEstimate.LoadEstimate;
  /** Share of KV memory in use, as last reported. */
  kvUsed: number;
  /** Calls of other hosts, as last reported. */
  otherHostCalls: number;
  /** Undefined unless the endpoint is ready. */
  pool: Pool | undefined;
  /** Whether the endpoint had a free slot when last checked. */
  available: boolean;
  /** Position in the pool's list. */
  pos: number;
}

/** Ready endpoints of one data centre; mutated in place. */
export class Pool {
  /** Whether the pool is in the host's own data centre. */
  readonly isLocal: boolean;
  /** Round trip to the pool's endpoints, milliseconds. */
  readonly latency: number;
  #available: Member[] = [];
  #unavailable: Member[] = [];
  #cursor = 0;

  private constructor(isLocal: boolean, latency: number) {
    this.isLocal = isLocal;
    this.latency = latency;
  }

  /** Creates a pool without members. */
  static create(isLocal: boolean, latency: number): Pool {
    return new Pool(isLocal, latency);
  }

  /** Members that had a free slot when last checked. */
  get available(): readonly Member[] {
    return this.#available;
  }

  /** Number of available and unavailable members. */
  get size(): number {
    return this.#available.length + this.#unavailable.length;
  }

  /** Adds a member that is in no pool, as available. */
  add(member: Member): void {
    member.pool = this;
    member.available = true;
    member.pos = this.#available.push(member) - 1;
  }

  /** Removes one of its members. */
  remove(member: Member): void {
    this.#detach(member);
    member.pool = undefined;
  }

  /** Sets whether one of the pool's members is available. */
  setAvailable(member: Member, available: boolean): void {
    if (member.available === available) return;
    this.#detach(member);
    member.available = available;
    member.pos = this.#list(available).push(member) - 1;
  }

  /** A random available member; undefined when there is none. */
  sample(random: runtime.Random): Member | undefined {
    return this.#available[random.below(this.#available.length)];
  }

  /** The next unavailable member in round-robin order, to be rechecked. */
  nextUnavailable(): Member | undefined {
    if (this.#unavailable.length === 0) return undefined;
    this.#cursor = (this.#cursor + 1) % this.#unavailable.length;
    return this.#unavailable[this.#cursor];
  }

  #detach(member: Member): void {
    const list = this.#list(member.available);
    const last = list.pop();
    if (last === undefined || last === member) return;
    list[member.pos] = last;
    last.pos = member.pos;
  }

  #list(available: boolean): Member[] {
    return available ? this.#available : this.#unavailable;
  }
}
