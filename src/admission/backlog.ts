/** Work promised to each service: what waits, what runs, and what admitted
 * requests will still ask of later stages.
 * @module */

import type * as request from "../request/mod.ts";
import * as weight from "./weight.ts";

/** Flows weighed one by one; with more, a coarser bound is taken. */
const MOST_FLOWS_WEIGHED = 64;

interface Share {
  flow: weight.Flow;
  weight: number;
  work: number;
  items: number;
}

interface Pool {
  slots: number;
  work: number;
  weight: number;
  flows: Map<string, Share>;
}

/** Promised work by service and flow; changed in place. */
export class Backlog {
  #policies: request.Policies;
  readonly #pools = new Map<string, Pool>();

  private constructor(policies: request.Policies) {
    this.#policies = policies;
  }

  static create(policies: request.Policies = new Map()): Backlog {
    return new Backlog(policies);
  }

  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
    for (const pool of this.#pools.values()) {
      pool.weight = 0;
      for (const share of pool.flows.values()) {
        share.weight = weight.weightOf(policies, share.flow);
        pool.weight += share.weight;
      }
    }
  }

  /** Sets how many calls the usable endpoints of a service run side by side. */
  setSlots(service: string, slots: number): void {
    this.#poolOf(service).slots = slots;
  }

  slots(service: string): number {
    return this.#pools.get(service)?.slots ?? 0;
  }

  /** Milliseconds of a slot promised to a service. */
  work(service: string): number {
    return this.#pools.get(service)?.work ?? 0;
  }

  add(service: string, flow: weight.Flow, work: number): void {
    const pool = this.#poolOf(service);
    const share = this.#shareOf(pool, flow);
    share.work += work;
    share.items++;
    pool.work += work;
  }

  /** Takes off what `add` put on, with the same work. */
  remove(service: string, flow: weight.Flow, work: number): void {
    const pool = this.#pools.get(service);
    const name = weight.nameOf(flow);
    const share = pool?.flows.get(name);
    if (pool === undefined || share === undefined) return;
    share.work -= work;
    share.items--;
    pool.work -= work;
    if (share.items > 0) return;
    pool.work -= share.work;
    pool.weight -= share.weight;
    pool.flows.delete(name);
    if (pool.flows.size > 0) return;
    pool.work = 0;
    pool.weight = 0;
  }

  /** Milliseconds until the work of `flow` promised so far has left, when
   * flows share the slots by weight; infinite without slots. */
  wait(service: string, flow: weight.Flow): number {
    const pool = this.#pools.get(service);
    if (pool === undefined || pool.slots === 0) return Infinity;
    const own = pool.flows.get(weight.nameOf(flow));
    if (own === undefined) return 0;
    return workAhead(pool, own) / pool.slots;
  }

  toJSON() {
    const entries = [...this.#pools].map(([service, pool]) => [service, {
      slots: pool.slots,
      work: pool.work,
      flows: pool.flows.size,
    }]);
    return Object.fromEntries(entries);
  }

  #poolOf(service: string): Pool {
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      pool = { slots: 0, work: 0, weight: 0, flows: new Map() };
      this.#pools.set(service, pool);
    }
    return pool;
  }

  #shareOf(pool: Pool, flow: weight.Flow): Share {
    const name = weight.nameOf(flow);
    let share = pool.flows.get(name);
    if (share === undefined) {
      const { account, kind } = flow;
      share = {
        flow: { account, kind },
        weight: weight.weightOf(this.#policies, flow),
        work: 0,
        items: 0,
      };
      pool.flows.set(name, share);
      pool.weight += share.weight;
    }
    return share;
  }
}

/** Work done before the last of `own` is: while it is served, each other flow
 * gets its weight's share, but no more than it has. */
function workAhead(pool: Pool, own: Share): number {
  const pace = own.work / own.weight;
  if (pool.flows.size > MOST_FLOWS_WEIGHED) {
    return Math.min(pool.work, pace * pool.weight);
  }
  let sum = 0;
  for (const share of pool.flows.values()) {
    sum += Math.min(share.work, pace * share.weight);
  }
  return sum;
}
