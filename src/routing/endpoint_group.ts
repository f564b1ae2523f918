/** Endpoints of one service with their load, health and believed cache
 * contents, and the pools from which one is chosen.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as event from "../request/event.ts";
import type * as runtime from "../runtime/mod.ts";
import * as outlierDetector from "./outlier_detector.ts";
import type * as health from "./health.ts";
import * as loadEstimate from "./load_estimate.ts";
import * as pool from "./pool.ts";
import * as prefixIndex from "./prefix_index.ts";
import * as hashRing from "./hash_ring.ts";

/** Configuration of a group. */
export interface Options {
  /** Data centre of this host. */
  dataCentre: string;
  random: runtime.Random;
  /** Round trip to another data centre, milliseconds. */
  latency?: number;
}

/** Result of a call. */
export interface CallResult {
  /** Undefined if the result says nothing about the endpoint's health. */
  observation?: health.Observation;
  /** Milliseconds that a successful call took. */
  serviceTime?: number;
}

/** Default round trip to another data centre. */
const REMOTE_LATENCY_MS = 2.5;
/** Weight of the newest call in the moving average of the service time. */
const SERVICE_TIME_STEP = 0.02;

/** Endpoints of one service; mutated in place. */
export class EndpointGroup {
  readonly outliers = outlierDetector.OutlierDetector.create();
  readonly prefixIndex = prefixIndex.PrefixIndex.create();
  readonly ring = hashRing.HashRing.create();
  readonly random: runtime.Random;
  #dataCentre: string;
  #latency: number;
  #members = new Map<string, pool.Member>();
  #pools = new Map<endpoint.EngineRole, Map<string, pool.Pool>>();
  #ownCalls = 0;
  #otherHostCalls = 0;
  #slots = 0;
  #meanServiceTime = 0;

  private constructor(options: Options) {
    this.random = options.random;
    this.#dataCentre = options.dataCentre;
    this.#latency = options.latency ?? REMOTE_LATENCY_MS;
  }

  /** Creates a group without members. */
  static create(options: Options): EndpointGroup {
    return new EndpointGroup(options);
  }

  /** Number of members, draining ones included. */
  get size(): number {
    return this.#members.size;
  }

  /** Mean service time of a call, milliseconds; 0 before the first call. */
  get meanServiceTime(): number {
    return this.#meanServiceTime;
  }

  /** Ratio of the calls in the group to its slots. */
  get utilisation(): number {
    return this.#slots === 0 ? 0 : this.totalCalls / this.#slots;
  }

  /** Calls of all hosts in the group. */
  get totalCalls(): number {
    return this.#ownCalls + this.#otherHostCalls;
  }

  /** Calls that the group runs concurrently. */
  get slots(): number {
    return this.#slots;
  }

  /** A member by its id. */
  member(id: string): pool.Member | undefined {
    return this.#members.get(id);
  }

  /** Whether the group has a ready member that is not among `ids`. */
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

  /** Adds an endpoint, or updates it. */
  upsert(updated: event.Endpoint): void {
    const known = this.#members.get(updated.id);
    if (known !== undefined && isUnchanged(known.endpoint, updated)) return;
    if (known !== undefined && hasRestarted(known.endpoint, updated)) {
      this.prefixIndex.removeEngine(updated.id);
    }
    const member = known ?? this.#addMember(updated);
    this.#slots += updated.slots - (known?.endpoint.slots ?? 0);
    member.pool?.remove(member);
    member.endpoint = updated;
    if (updated.state === "ready") this.#poolOf(updated).add(member);
  }

  /** Removes an endpoint and all of its state. */
  remove(id: string): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.pool?.remove(member);
    this.#members.delete(id);
    this.#slots -= member.endpoint.slots;
    this.#ownCalls -= member.load.ownCalls;
    this.#otherHostCalls -= member.otherHostCalls;
    this.outliers.remove(id);
    this.prefixIndex.removeEngine(id);
    this.ring.remove(id);
  }

  /** Applies a load report. */
  reportLoad(id: string, report: event.Load, now: number): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.load.report(report, now);
    member.kvUsed = report.kvUsed;
    const otherHostCalls = member.load.reportedOtherHostCalls;
    this.#otherHostCalls += otherHostCalls - member.otherHostCalls;
    member.otherHostCalls = otherHostCalls;
    this.updateAvailability(member, now);
  }

  /** Counts a call that is sent to a member. */
  startCall(id: string, blocks: readonly string[], now: number): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.load.startCall(now);
    this.#ownCalls++;
    this.outliers.startCall(id, now);
    if (blocks.length > 0) this.prefixIndex.recordPrompt(id, blocks, now);
    this.updateAvailability(member, now);
  }

  /** Counts the end of a call that was sent to a member. */
  endCall(id: string, result: CallResult, now: number): void {
    if (result.serviceTime !== undefined) this.#observeTime(result.serviceTime);
    const member = this.#members.get(id);
    if (member === undefined) return;
    if (member.load.ownCalls > 0) this.#ownCalls--;
    member.load.endCall(now);
    if (result.observation) this.outliers.observe(id, result.observation, now);
    this.updateAvailability(member, now);
  }

  /** Predicted number of calls at a member. */
  predictLoad(member: pool.Member, now: number): number {
    const prior = this.#otherHostCalls * member.endpoint.slots / this.#slots;
    return member.load.predict(now, {
      prior,
      serviceTime: this.#meanServiceTime,
    });
  }

  /** Updates a member's availability in its pool; returns whether it can take
   * one more call. Other hosts' calls count only as reported, without the prior
   * that `predictLoad` adds: with the prior, all hosts would hold calls back
   * until the next report whenever the group is busy. */
  updateAvailability(member: pool.Member, now: number): boolean {
    const { slots } = member.endpoint;
    const load = member.load.predict(now, {
      serviceTime: this.#meanServiceTime,
    });
    const available = member.load.ownCalls < slots && load < slots;
    member.pool?.setAvailable(member, available);
    return available && member.pool !== undefined;
  }

  /** Rechecks one unavailable member in each pool, since reported calls
   * decay over time. */
  recheckUnavailable(pools: Iterable<pool.Pool>, now: number): void {
    for (const each of pools) {
      const member = each.nextUnavailable();
      if (member !== undefined) this.updateAvailability(member, now);
    }
  }

  #addMember(added: event.Endpoint): pool.Member {
    const member: pool.Member = {
      endpoint: added,
      load: loadEstimate.LoadEstimate.create(),
      kvUsed: 0,
      otherHostCalls: 0,
      pool: undefined,
      available: false,
      pos: 0,
    };
    this.#members.set(added.id, member);
    this.outliers.add(added.id);
    this.ring.add(added.id);
    return member;
  }

  #poolOf(added: event.Endpoint): pool.Pool {
    let pools = this.#pools.get(added.role);
    if (pools === undefined) {
      pools = new Map();
      this.#pools.set(added.role, pools);
    }
    let found = pools.get(added.dataCentre);
    if (found === undefined) {
      const isLocal = added.dataCentre === this.#dataCentre;
      found = pool.Pool.create(isLocal, isLocal ? 0 : this.#latency);
      pools.set(added.dataCentre, found);
    }
    return found;
  }

  #observeTime(serviceTime: number): void {
    const alpha = this.#meanServiceTime === 0 ? 1 : SERVICE_TIME_STEP;
    this.#meanServiceTime += alpha * (serviceTime - this.#meanServiceTime);
  }
}

function isUnchanged(a: event.Endpoint, b: event.Endpoint): boolean {
  return a.service === b.service && a.dataCentre === b.dataCentre &&
    a.slots === b.slots && a.role === b.role && a.state === b.state &&
    !hasRestarted(a, b);
}

/** Whether the endpoint has restarted between `a` and `b`. */
function hasRestarted(a: event.Endpoint, b: event.Endpoint): boolean {
  return a.generation !== b.generation;
}
