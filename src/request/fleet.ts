/** Endpoint pools by service, with this host's calls in flight to each
 * endpoint.
 * @module */

import * as dispatchErrors from "./dispatch_error.ts";
import type * as event from "./event.ts";
import type * as policySet from "./policy_set.ts";

/** An endpoint and its calls in flight; a new announcement updates it in
 * place. */
export class Member implements policySet.Member {
  endpoint: event.Endpoint;
  inFlight = 0;

  constructor(endpoint: event.Endpoint) {
    this.endpoint = endpoint;
  }

  /** Free slots; 0 while the endpoint drains. */
  get free(): number {
    if (this.endpoint.state !== "ready") return 0;
    return Math.max(0, this.endpoint.slots - this.inFlight);
  }
}

/** Endpoints of one service. */
export class Pool implements policySet.Pool {
  readonly service: string;
  members: Member[] = [];
  free = 0;
  readonly #all = new Map<string, Member>();

  constructor(service: string) {
    this.service = service;
  }

  member(id: string): Member | undefined {
    return this.#all.get(id);
  }

  /** Finds the member that a policy chose. */
  resolve({ endpoint: { id } }: policySet.Member): Member {
    const member = this.#all.get(id);
    if (member !== undefined) return member;
    throw new dispatchErrors.DispatchError(
      `The chosen endpoint ${id} is not in the pool`,
    );
  }

  /** Adds to a member's calls in flight and updates the free slots. */
  addCalls(member: Member, change: 1 | -1): void {
    const isCurrent = this.#all.get(member.endpoint.id) === member;
    const freeBefore = member.free;
    member.inFlight += change;
    if (isCurrent) this.free += member.free - freeBefore;
  }

  /** Replaces the endpoints of this service; known ones keep their counts. */
  replace(endpoints: readonly event.Endpoint[]): void {
    const kept = new Map(this.#all);
    this.#all.clear();
    for (const endpoint of endpoints) {
      const member = kept.get(endpoint.id) ?? new Member(endpoint);
      member.endpoint = endpoint;
      this.#all.set(endpoint.id, member);
    }
    const all = [...this.#all.values()];
    this.members = all.filter((member) => member.endpoint.state === "ready");
    this.free = this.members.reduce((sum, member) => sum + member.free, 0);
  }

  /** State as plain JSON for the state dump. */
  dump(): unknown {
    return [...this.#all.values()].map((member) => ({
      id: member.endpoint.id,
      state: member.endpoint.state,
      slots: member.endpoint.slots,
      inFlight: member.inFlight,
    }));
  }
}

/** Pools by service. */
export class Pools {
  readonly #pools = new Map<string, Pool>();

  static create(): Pools {
    return new Pools();
  }

  get(service: string): Pool | undefined {
    return this.#pools.get(service);
  }

  /** Finds the service of an endpoint. */
  serviceOf(endpoint: string): string | undefined {
    for (const [service, pool] of this.#pools) {
      if (pool.member(endpoint) !== undefined) return service;
    }
    return undefined;
  }

  services(): Iterable<string> {
    return this.#pools.keys();
  }

  replace(endpoints: readonly event.Endpoint[]): void {
    const groups = new Map<string, event.Endpoint[]>();
    for (const service of this.#pools.keys()) groups.set(service, []);
    for (const endpoint of endpoints) {
      const group = groups.get(endpoint.service);
      if (group === undefined) groups.set(endpoint.service, [endpoint]);
      else group.push(endpoint);
    }
    for (const [service, group] of groups) {
      const pool = this.#pools.get(service) ?? new Pool(service);
      this.#pools.set(service, pool);
      pool.replace(group);
    }
  }

  dump(): unknown {
    const entries = [...this.#pools.values()];
    return Object.fromEntries(
      entries.map((pool) => [pool.service, pool.dump()]),
    );
  }
}
