/** Choice of the endpoint with the least predicted finish among a small random
 * sample, the believed holders of the prompt's prefix and its home.
 *
 * A sample, since hosts share no counts: if each took the least loaded of all,
 * all would take the same one until the next report.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as group from "./endpoint_group.ts";
import type * as pool from "./pool.ts";
import * as finish from "./finish_time.ts";

/** A call that needs an endpoint. */
export interface Call {
  /** Milliseconds that it takes at an idle, typical endpoint. */
  work: number;
  /** Milliseconds of that for the prefill of the whole prompt. */
  prefill: number;
  /** Hashes of the prompt's prefix blocks, longest last. */
  prefix: readonly string[];
  role: endpoint.EngineRole;
  /** Endpoints that may not be chosen. */
  avoid: readonly string[];
  /** Whether it may be sent to an ejected endpoint as a probe: only a call
   * that can be repeated. */
  probe: boolean;
}

/** An endpoint chosen for a call. */
export interface Choice {
  endpoint: string;
  /** Milliseconds until the call is expected to finish. */
  finish: number;
  /** Leading blocks of its prompt believed to be cached there. */
  blocks: number;
}

/** Endpoints compared for one choice. */
const SAMPLE = 4;
/** Pools of at most this many with room are compared as a whole. */
const WHOLE = 12;
/** Draws for one choice at most. */
const DRAWS = 16;
/** Load over the group's mean, above which affinity counts no more. */
const BOUND = 1.25;
/** Share of its slots up to which affinity always counts. */
const LIGHT = 0.5;
/** Finish over the best one's that a prompt's home may have. */
const HOME = 1.1;

/** Chooses among the members of `from`; undefined when none has room. */
export function choose(
  from: group.EndpointGroup,
  call: Call,
  now: number,
): Choice | undefined {
  const search = new Search(from, call, now);
  return search.probe() ?? search.run();
}

/** One choice under way. */
class Search {
  #from: group.EndpointGroup;
  #call: Call;
  #now: number;
  #best: Choice | undefined;
  #spare: Choice | undefined;

  constructor(from: group.EndpointGroup, call: Call, now: number) {
    this.#from = from;
    this.#call = call;
    this.#now = now;
  }

  /** An ejected endpoint whose time for a probe has come. */
  probe(): Choice | undefined {
    if (!this.#call.probe) return undefined;
    const id = this.#from.outliers.dueProbe(this.#now);
    const member = id === undefined ? undefined : this.#from.member(id);
    if (member === undefined || !this.#usable(member)) return undefined;
    return this.#weigh(member, 0);
  }

  run(): Choice | undefined {
    const pools = [...this.#from.pools(this.#call.role)];
    this.#from.recheckUnavailable(pools, this.#now);
    this.#considerHolders();
    this.#considerPools(pools);
    this.#considerHome();
    return this.#best ?? this.#spare ?? this.#lastResort(pools);
  }

  #considerHolders(): void {
    const { prefix, prefill } = this.#call;
    if (prefix.length === 0 || prefill === 0) return;
    for (const one of this.#from.prefixIndex.holders(prefix, this.#now)) {
      const member = this.#from.member(one.endpoint);
      if (member === undefined || !this.#bounded(member)) continue;
      this.#consider(member, one.blocks);
    }
  }

  #considerPools(pools: readonly pool.Pool[]): void {
    let open = 0;
    for (const one of pools) open += one.available.length;
    if (open <= WHOLE) {
      for (const one of pools) this.#considerAll(one);
    } else this.#sample(pools, open);
  }

  /** Begins anywhere, so that hosts that know nothing do not agree. */
  #considerAll(from: pool.Pool): void {
    // A copy, as members without room leave the list on the way.
    const members = [...from.available];
    const start = this.#from.random.below(members.length);
    for (let pos = 0; pos < members.length; pos++) {
      this.#consider(members[(start + pos) % members.length], 0);
    }
  }

  /** Draws one half nearby, where there is any, the rest from all. */
  #sample(pools: readonly pool.Pool[], open: number): void {
    const near = pools.find((one) => one.isLocal);
    let taken = 0;
    for (let draw = 0; draw < DRAWS && taken < SAMPLE; draw++) {
      const nearby = draw % 2 === 0 ? near : undefined;
      const from = nearby ?? this.#draw(pools, open);
      const member = from.sample(this.#from.random);
      if (member !== undefined && this.#consider(member, 0)) taken++;
    }
  }

  /** A pool with a chance that follows its members with room. */
  #draw(pools: readonly pool.Pool[], open: number): pool.Pool {
    let left = this.#from.random.below(open);
    for (const one of pools) {
      left -= one.available.length;
      if (left < 0) return one;
    }
    return pools[0];
  }

  /** The prompt's place on the ring, the same for all hosts, so that prompts
   * that begin alike meet where their prefix will be cached. */
  #considerHome(): void {
    const best = this.#best;
    if (best === undefined || best.blocks > 0) return;
    if (this.#call.prefix.length === 0 || this.#call.prefill === 0) return;
    const id = this.#from.ring.lookup(this.#call.prefix[0]);
    const member = id === undefined ? undefined : this.#from.member(id);
    if (member === undefined || !this.#usable(member)) return;
    if (!this.#bounded(member) || !this.#accept(member)) return;
    const home = this.#weigh(member, 0);
    if (home.finish <= HOME * best.finish) this.#best = home;
  }

  /** Takes a member if it beats the best so far; false if it may not be
   * chosen now. */
  #consider(member: pool.Member, blocks: number): boolean {
    if (!this.#usable(member)) return false;
    const weighed = this.#weigh(member, blocks);
    if (this.#accept(member)) {
      this.#best = sooner(this.#best, weighed);
      return true;
    }
    if (!this.#held(member)) this.#spare = sooner(this.#spare, weighed);
    return false;
  }

  /** Members that may be chosen when none with full weight was drawn. */
  #lastResort(pools: readonly pool.Pool[]): Choice | undefined {
    for (const one of pools) {
      const length = Math.min(one.available.length, DRAWS);
      const start = this.#from.random.below(one.available.length);
      for (let pos = 0; pos < length; pos++) {
        const member = one.available[(start + pos) % one.available.length];
        if (member === undefined) continue;
        if (!this.#usable(member) || this.#held(member)) continue;
        return this.#weigh(member, 0);
      }
    }
    return undefined;
  }

  #usable(member: pool.Member): boolean {
    const { endpoint } = member;
    if (endpoint.state !== "ready" || endpoint.role !== this.#call.role) {
      return false;
    }
    if (this.#call.avoid.includes(endpoint.id)) return false;
    return this.#from.updateAvailability(member, this.#now);
  }

  /** By chance, as often as the member's weight says. */
  #accept(member: pool.Member): boolean {
    const weight = this.#from.outliers.weight(member.endpoint.id, this.#now);
    return weight >= 1 || this.#from.random.next() < weight;
  }

  #held(member: pool.Member): boolean {
    return this.#from.outliers.weight(member.endpoint.id, this.#now) === 0;
  }

  /** Whether affinity may add to a member's load. */
  #bounded(member: pool.Member): boolean {
    const load = this.#from.predictLoad(member, this.#now);
    const { slots } = member.endpoint;
    if (load < LIGHT * slots) return true;
    const mean = (this.#from.totalCalls + 1) / this.#from.slots;
    return load <= BOUND * mean * slots;
  }

  #weigh(member: pool.Member, blocks: number): Choice {
    const { endpoint } = member;
    const { work, prefill, prefix } = this.#call;
    const predicted = finish.predict({
      latency: member.pool?.latency ?? 0,
      work,
      saved: blocks === 0 ? 0 : prefill * blocks / prefix.length,
      load: this.#from.predictLoad(member, this.#now),
      slots: endpoint.slots,
      service: this.#from.meanServiceTime || work,
      slowness: this.#from.outliers.slowness(endpoint.id),
      kvUsed: member.kvUsed,
    });
    return { endpoint: endpoint.id, finish: predicted, blocks };
  }
}

function sooner(best: Choice | undefined, other: Choice): Choice {
  return best === undefined || other.finish < best.finish ? other : best;
}
