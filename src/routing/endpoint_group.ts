/** Endpoints of one service as routing sees them: load, health, belief about
 * their caches, and pools from which one is chosen.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as event from "../request/event.ts";
import type * as runtime from "../runtime/mod.ts";
import * as ejection from "./outlier_detector.ts";
import type * as health from "./health.ts";
import * as load from "./load_estimate.ts";
import * as pool from "./pool.ts";
import * as prefix from "./prefix_index.ts";
import * as ring from "./hash_ring.ts";

/** Where a host is and what it draws random numbers from. */
export interface Options {
  dataCentre: string;
  random: runtime.Random;
  /** Milliseconds to another data centre and back. */
  latency?: number;
}

/** How a call ended. */
export interface CallResult {
  /** Undefined where the end says nothing of the endpoint's health. */
  observation?: health.Observation;
  /** Milliseconds that the call took, where it ended well. */
  serviceTime?: number;
}

/** Milliseconds to another data centre and back. */
const FAR = 2.5;
/** Weight of the newest call in the mean time of a call. */
const ALPHA = 0.02;

/** Members of one service; changed in place. */
export class EndpointGroup {
  readonly outliers = ejection.OutlierDetector.create();
  readonly prefixIndex = prefix.PrefixIndex.create();
  readonly ring = ring.HashRing.create();
  readonly random: runtime.Random;
  #dataCentre: string;
  #latency: number;
  #members = new Map<string, pool.Member>();
  #pools = new Map<endpoint.EngineRole, Map<string, pool.Pool>>();
  #own = 0;
  #foreign = 0;
  #slots = 0;
  #service = 0;

  private constructor(options: Options) {
    this.random = options.random;
    this.#dataCentre = options.dataCentre;
    this.#latency = options.latency ?? FAR;
  }

  /** A group without members. */
  static create(options: Options): EndpointGroup {
    return new EndpointGroup(options);
  }

  /** Number of members, draining ones included. */
  get size(): number {
    return this.#members.size;
  }

  /** Mean time of a call in milliseconds; 0 before the first. */
  get meanServiceTime(): number {
    return this.#service;
  }

  /** Calls in the group over those it runs side by side. */
  get utilisation(): number {
    return this.#slots === 0 ? 0 : this.totalCalls / this.#slots;
  }

  /** Calls in the group, of this and of other hosts. */
  get totalCalls(): number {
    return this.#own + this.#foreign;
  }

  /** Calls that the group runs side by side. */
  get slots(): number {
    return this.#slots;
  }

  /** A member by its id. */
  member(id: string): pool.Member | undefined {
    return this.#members.get(id);
  }

  /** Whether a ready member is not among these. */
  hasOther(ids: readonly string[]): boolean {
    for (const [id, member] of this.#members) {
      if (member.pool !== undefined && !ids.includes(id)) return true;
    }
    return false;
  }

  /** Ids of all members. */
  ids(): IterableIterator<string> {
    return this.#members.keys();
  }

  /** Pools of a role by data centre. */
  pools(role: endpoint.EngineRole): Iterable<pool.Pool> {
    return this.#pools.get(role)?.values() ?? [];
  }

  /** Adds an endpoint, or takes in what changed of it. */
  upsert(described: event.Endpoint): void {
    const known = this.#members.get(described.id);
    if (known !== undefined && same(known.endpoint, described)) return;
    if (known !== undefined && restarted(known.endpoint, described)) {
      this.prefixIndex.removeEngine(described.id);
    }
    const member = known ?? this.#enter(described);
    this.#slots += described.slots - (known?.endpoint.slots ?? 0);
    member.pool?.remove(member);
    member.endpoint = described;
    if (described.state === "ready") this.#poolOf(described).add(member);
  }

  /** Removes an endpoint that is gone. */
  remove(id: string): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.pool?.remove(member);
    this.#members.delete(id);
    this.#slots -= member.endpoint.slots;
    this.#own -= member.load.ownCalls;
    this.#foreign -= member.otherHostCalls;
    this.outliers.remove(id);
    this.prefixIndex.removeEngine(id);
    this.ring.remove(id);
  }

  /** Takes a load report. */
  reportLoad(id: string, seen: event.Load, now: number): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.load.report(seen, now);
    member.kvUsed = seen.kvUsed;
    const foreign = member.load.reportedOtherHostCalls;
    this.#foreign += foreign - member.otherHostCalls;
    member.otherHostCalls = foreign;
    this.updateAvailability(member, now);
  }

  /** Counts a call that is sent to a member. */
  startCall(id: string, blocks: readonly string[], now: number): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.load.startCall(now);
    this.#own++;
    this.outliers.startCall(id, now);
    if (blocks.length > 0) this.prefixIndex.recordPrompt(id, blocks, now);
    this.updateAvailability(member, now);
  }

  /** Counts the end of a call that was sent to a member. */
  endCall(id: string, ended: CallResult, now: number): void {
    if (ended.serviceTime !== undefined) this.#learn(ended.serviceTime);
    const member = this.#members.get(id);
    if (member === undefined) return;
    if (member.load.ownCalls > 0) this.#own--;
    member.load.endCall(now);
    if (ended.observation) this.outliers.observe(id, ended.observation, now);
    this.updateAvailability(member, now);
  }

  /** Calls that a member is believed to have. */
  predictLoad(member: pool.Member, now: number): number {
    const prior = this.#foreign * member.endpoint.slots / this.#slots;
    return member.load.predict(now, { prior, serviceTime: this.#service });
  }

  /** Whether a member may take one more call; moves it in its pool. Only
   * what was reported of others counts here, not what is usual: else all
   * hosts would wait for a report when the group is busy. */
  updateAvailability(member: pool.Member, now: number): boolean {
    const { slots } = member.endpoint;
    const load = member.load.predict(now, { serviceTime: this.#service });
    const open = member.load.ownCalls < slots && load < slots;
    member.pool?.setAvailable(member, open);
    return open && member.pool !== undefined;
  }

  /** Looks again at one member without room in each pool: reports fade. */
  recheckUnavailable(pools: Iterable<pool.Pool>, now: number): void {
    for (const one of pools) {
      const member = one.nextUnavailable();
      if (member !== undefined) this.updateAvailability(member, now);
    }
  }

  #enter(described: event.Endpoint): pool.Member {
    const member: pool.Member = {
      endpoint: described,
      load: load.LoadEstimate.create(),
      kvUsed: 0,
      otherHostCalls: 0,
      pool: undefined,
      available: false,
      pos: 0,
    };
    this.#members.set(described.id, member);
    this.outliers.add(described.id);
    this.ring.add(described.id);
    return member;
  }

  #poolOf(described: event.Endpoint): pool.Pool {
    let pools = this.#pools.get(described.role);
    if (pools === undefined) {
      pools = new Map();
      this.#pools.set(described.role, pools);
    }
    let found = pools.get(described.dataCentre);
    if (found === undefined) {
      const near = described.dataCentre === this.#dataCentre;
      found = pool.Pool.create(near, near ? 0 : this.#latency);
      pools.set(described.dataCentre, found);
    }
    return found;
  }

  #learn(service: number): void {
    const alpha = this.#service === 0 ? 1 : ALPHA;
    this.#service += alpha * (service - this.#service);
  }
}

function same(a: event.Endpoint, b: event.Endpoint): boolean {
  return a.service === b.service && a.dataCentre === b.dataCentre &&
    a.slots === b.slots && a.role === b.role && a.state === b.state &&
    !restarted(a, b);
}

/** Whether it is another run of the endpoint. */
function restarted(a: event.Endpoint, b: event.Endpoint): boolean {
  return a.generation !== b.generation;
}
