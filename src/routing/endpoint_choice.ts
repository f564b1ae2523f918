/** Endpoint choice: picks the endpoint with the earliest predicted finish
 * among a small random sample, the engines believed to have the prompt's prefix
 * cached, and the prompt's endpoint on the hash ring.
 *
 * Only a sample is compared, since hosts exchange no counts: if each host took
 * the least loaded of all endpoints, all hosts would take the same one until
 * the next load report.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as endpointGroup from "./endpoint_group.ts";
import type * as pool from "./pool.ts";
import * as finishTime from "./finish_time.ts";

/** A call for which an endpoint is chosen. */
export interface Call {
  /** Time of the call at an idle, typical endpoint, milliseconds. */
  work: number;
  /** Part of `work` for the prefill of the whole prompt, milliseconds. */
  prefill: number;
  /** Hashes of the prompt's prefix blocks, longest last. */
  prefix: readonly string[];
  role: endpoint.EngineRole;
  /** Ids of endpoints that must not be chosen. */
  avoid: readonly string[];
  /** Whether the call may be sent to an ejected endpoint as a probe, which only
   * an idempotent call may. */
  probe: boolean;
}

/** An endpoint chosen for a call. */
export interface Choice {
  endpoint: string;
  /** Predicted milliseconds until the call finishes. */
  finish: number;
  /** Leading blocks of the prompt that are believed to be cached there. */
  blocks: number;
}

/** Number of endpoints sampled for one choice. */
const SAMPLE_COUNT = 4;
/** Number of available endpoints up to which all are compared. */
const FULL_SCAN_COUNT = 12;
/** Maximum number of random draws for one choice. */
const MAX_DRAWS = 16;
/** Ratio of an endpoint's load to the group's mean above which affinity is
 * ignored. */
const AFFINITY_LOAD_RATIO = 1.25;
/** Share of an endpoint's slots in use below which affinity always applies. */
const AFFINITY_SLOT_RATIO = 0.5;
/** Maximum ratio of the predicted finish at the prompt's ring endpoint to the
 * best one. */
const RING_FINISH_RATIO = 1.1;

/** Chooses an endpoint of `from`; undefined when none has a free slot. */
export function choose(
  from: endpointGroup.EndpointGroup,
  call: Call,
  now: number,
): Choice | undefined {
  const search = new Search(from, call, now);
  return search.probe() ?? search.run();
}

/** State of one choice. */
class Search {
  #group: endpointGroup.EndpointGroup;
  #call: Call;
  #now: number;
  #best: Choice | undefined;
  #fallback: Choice | undefined;

  constructor(from: endpointGroup.EndpointGroup, call: Call, now: number) {
    this.#group = from;
    this.#call = call;
    this.#now = now;
  }

  /** Chooses an ejected endpoint that is due for a probe. */
  probe(): Choice | undefined {
    if (!this.#call.probe) return undefined;
    const id = this.#group.outliers.dueProbe(this.#now);
    const member = id === undefined ? undefined : this.#group.member(id);
    if (member === undefined || !this.#isUsable(member)) return undefined;
    return this.#evaluate(member, 0);
  }

  run(): Choice | undefined {
    const pools = [...this.#group.pools(this.#call.role)];
    this.#group.recheckUnavailable(pools, this.#now);
    this.#considerHolders();
    this.#considerPools(pools);
    this.#considerRingMember();
    return this.#best ?? this.#fallback ?? this.#firstUsable(pools);
  }

  #considerHolders(): void {
    const { prefix, prefill } = this.#call;
    if (prefix.length === 0 || prefill === 0) return;
    for (const holder of this.#group.prefixIndex.holders(prefix, this.#now)) {
      const member = this.#group.member(holder.endpoint);
      if (member === undefined || !this.#allowsAffinity(member)) continue;
      this.#consider(member, holder.blocks);
    }
  }

  #considerPools(pools: readonly pool.Pool[]): void {
    let availableCount = 0;
    for (const each of pools) availableCount += each.available.length;
    if (availableCount <= FULL_SCAN_COUNT) {
      for (const each of pools) this.#considerAll(each);
    } else this.#sample(pools, availableCount);
  }

  /** Starts at a random member, so that hosts without load information do not
   * all prefer the same one. */
  #considerAll(from: pool.Pool): void {
    // A copy, as members found to be full leave the list during the iteration.
    const members = [...from.available];
    const start = this.#group.random.below(members.length);
    for (let pos = 0; pos < members.length; pos++) {
      this.#consider(members[(start + pos) % members.length], 0);
    }
  }

  /** Draws half of the sample from the local data centre, if it has a pool, and
   * the rest from all pools. */
  #sample(pools: readonly pool.Pool[], availableCount: number): void {
    const localPool = pools.find((each) => each.isLocal);
    let taken = 0;
    for (let draw = 0; draw < MAX_DRAWS && taken < SAMPLE_COUNT; draw++) {
      const preferred = draw % 2 === 0 ? localPool : undefined;
      const from = preferred ?? this.#drawPool(pools, availableCount);
      const member = from.sample(this.#group.random);
      if (member !== undefined && this.#consider(member, 0)) taken++;
    }
  }

  /** Draws a pool with a probability proportional to its available members. */
  #drawPool(pools: readonly pool.Pool[], availableCount: number): pool.Pool {
    let remaining = this.#group.random.below(availableCount);
    for (const each of pools) {
      remaining -= each.available.length;
      if (remaining < 0) return each;
    }
    return pools[0];
  }

  /** Considers the prompt's endpoint on the hash ring, which is the same for
   * all hosts, so that prompts with a common beginning are sent where their
   * prefix will be cached. */
  #considerRingMember(): void {
    const best = this.#best;
    if (best === undefined || best.blocks > 0) return;
    if (this.#call.prefix.length === 0 || this.#call.prefill === 0) return;
    const id = this.#group.ring.lookup(this.#call.prefix[0]);
    const member = id === undefined ? undefined : this.#group.member(id);
    if (member === undefined || !this.#isUsable(member)) return;
    if (!this.#allowsAffinity(member) || !this.#accept(member)) return;
    const found = this.#evaluate(member, 0);
    if (found.finish <= RING_FINISH_RATIO * best.finish) this.#best = found;
  }

  /** Keeps a member if it beats the best one so far; returns false if the
   * member must not be chosen now. */
  #consider(member: pool.Member, blocks: number): boolean {
    if (!this.#isUsable(member)) return false;
    const found = this.#evaluate(member, blocks);
    if (this.#accept(member)) {
      this.#best = earlier(this.#best, found);
      return true;
    }
    if (!this.#isHeld(member)) this.#fallback = earlier(this.#fallback, found);
    return false;
  }

  /** Returns the first usable member when none was accepted by its weight. */
  #firstUsable(pools: readonly pool.Pool[]): Choice | undefined {
    for (const each of pools) {
      const length = Math.min(each.available.length, MAX_DRAWS);
      const start = this.#group.random.below(each.available.length);
      for (let pos = 0; pos < length; pos++) {
        const member = each.available[(start + pos) % each.available.length];
        if (member === undefined) continue;
        if (!this.#isUsable(member) || this.#isHeld(member)) continue;
        return this.#evaluate(member, 0);
      }
    }
    return undefined;
  }

  #isUsable(member: pool.Member): boolean {
    const { endpoint } = member;
    if (endpoint.state !== "ready" || endpoint.role !== this.#call.role) {
      return false;
    }
    if (this.#call.avoid.includes(endpoint.id)) return false;
    return this.#group.updateAvailability(member, this.#now);
  }

  /** Accepts a member with a probability equal to its weight. */
  #accept(member: pool.Member): boolean {
    const weight = this.#group.outliers.weight(member.endpoint.id, this.#now);
    return weight >= 1 || this.#group.random.next() < weight;
  }

  #isHeld(member: pool.Member): boolean {
    return this.#group.outliers.weight(member.endpoint.id, this.#now) === 0;
  }

  /** Whether a member's load is low enough for prefix affinity. */
  #allowsAffinity(member: pool.Member): boolean {
    const load = this.#group.predictLoad(member, this.#now);
    const { slots } = member.endpoint;
    if (load < AFFINITY_SLOT_RATIO * slots) return true;
    const meanUtilisation = (this.#group.totalCalls + 1) / this.#group.slots;
    return load <= AFFINITY_LOAD_RATIO * meanUtilisation * slots;
  }

  #evaluate(member: pool.Member, blocks: number): Choice {
    const { endpoint } = member;
    const { work, prefill, prefix } = this.#call;
    const predicted = finishTime.predict({
      latency: member.pool?.latency ?? 0,
      work,
      saved: blocks === 0 ? 0 : prefill * blocks / prefix.length,
      load: this.#group.predictLoad(member, this.#now),
      slots: endpoint.slots,
      service: this.#group.meanServiceTime || work,
      slowness: this.#group.outliers.slowness(endpoint.id),
      kvUsed: member.kvUsed,
    });
    return { endpoint: endpoint.id, finish: predicted, blocks };
  }
}

function earlier(best: Choice | undefined, other: Choice): Choice {
  return best === undefined || other.finish < best.finish ? other : best;
}
