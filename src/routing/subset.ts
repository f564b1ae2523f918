/** Which endpoints a host works with when there are too many for each host to
 * know them all. Each endpoint picks its hosts by rendezvous hashing, so all
 * endpoints have the same number of hosts, all hosts agree without a word, and
 * a change moves little.
 * @module */

import * as hash from "./hash.ts";

/** A host or an endpoint, and where it is. */
export interface Location {
  id: string;
  dataCentre: string;
}

/** Endpoints that a host works with at the least, where there are as many. */
const TARGET = 64;
/** Share of an endpoint's hosts that are in other data centres, so that it is
 * used when its own data centre has few callers or loses its hosts. */
const ELSEWHERE = 0.25;

/** Hosts of a fleet, prepared for many selections. */
export class SubsetSelector {
  #hosts: readonly Location[];
  #hashes: Uint32Array;
  #positions: ReadonlyMap<string, number>;
  #perDataCentre = new Map<string, number>();

  private constructor(hosts: readonly Location[]) {
    this.#hosts = hosts;
    this.#hashes = Uint32Array.from(hosts, (one) => hash.ofString(one.id));
    this.#positions = new Map(hosts.map(({ id }, pos) => [id, pos]));
    for (const { dataCentre } of hosts) {
      const count = this.#perDataCentre.get(dataCentre) ?? 0;
      this.#perDataCentre.set(dataCentre, count + 1);
    }
  }

  /** A fleet of these hosts; their order does not matter. */
  static create(hosts: readonly Location[]): SubsetSelector {
    return new SubsetSelector(hosts);
  }

  /** Hosts that work with each endpoint: a power of two, or all, so that it
   * seldom changes with the sizes. */
  hostsPerEndpoint(endpoints: number, target = TARGET): number {
    const needed = target * this.#hosts.length / Math.max(1, endpoints);
    const power = 2 ** Math.ceil(Math.log2(Math.max(1, needed)));
    return Math.min(this.#hosts.length, power);
  }

  /** Ids of the endpoints that a host works with. */
  select(
    host: string,
    endpoints: readonly Location[],
    target = TARGET,
  ): Set<string> {
    const covers = this.hostsPerEndpoint(endpoints.length, target);
    const chosen = endpoints.filter((one) =>
      this.isAssigned(host, one, covers)
    );
    return new Set(chosen.map(({ id }) => id));
  }

  /** Whether a host is among the `covers` hosts of an endpoint. */
  isAssigned(host: string, endpoint: Location, covers: number): boolean {
    const self = this.#positions.get(host);
    return self !== undefined && this.#covered(endpoint, self, covers);
  }

  /** Whether fewer hosts than its class may have rank above this one. */
  #covered(endpoint: Location, self: number, covers: number): boolean {
    const near = this.#hosts[self].dataCentre === endpoint.dataCentre;
    const quotas = this.#quotas(endpoint, covers);
    let left = near ? quotas.near : quotas.far;
    if (left === 0) return false;
    const key = hash.ofString(endpoint.id);
    const own = hash.combine(key, this.#hashes[self]);
    for (let pos = 0; pos < this.#hosts.length; pos++) {
      const same = this.#hosts[pos].dataCentre === endpoint.dataCentre;
      if (same !== near || pos === self) continue;
      const other = hash.combine(key, this.#hashes[pos]);
      const above = other > own ||
        (other === own && this.#hosts[pos].id > this.#hosts[self].id);
      if (above && --left === 0) return false;
    }
    return true;
  }

  /** Hosts of an endpoint in its own data centre and elsewhere. */
  #quotas(endpoint: Location, covers: number): { near: number; far: number } {
    const nearby = this.#perDataCentre.get(endpoint.dataCentre) ?? 0;
    const others = this.#hosts.length - nearby;
    const wanted = Math.min(others, Math.floor(covers * ELSEWHERE));
    const near = Math.min(nearby, covers - wanted);
    return { near, far: Math.min(others, covers - near) };
  }
}
