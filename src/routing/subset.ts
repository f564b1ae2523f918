/** Deterministic subsetting: assigns each host a subset of the endpoints when
 * there are too many for every host to use all of them.
 *
 * The hosts of each endpoint are chosen by rendezvous hashing. All endpoints
 * have the same number of hosts, all hosts agree without communication, and a
 * change of hosts or endpoints moves few assignments.
 * @module */

import * as hash from "./hash.ts";

/** Id and data centre of a host or an endpoint. */
export interface Location {
  id: string;
  dataCentre: string;
}

/** Minimum number of endpoints of a host, if there are as many. */
const TARGET_ENDPOINT_COUNT = 64;
/** Share of an endpoint's hosts in other data centres, so that the endpoint
 * gets calls when its own data centre has few callers or loses its hosts. */
const REMOTE_HOST_RATIO = 0.25;

/** Selects subsets for a fixed set of hosts. */
export class SubsetSelector {
  #hosts: readonly Location[];
  #hashes: Uint32Array;
  #positions: ReadonlyMap<string, number>;
  #hostsByDataCentre = new Map<string, number>();

  private constructor(hosts: readonly Location[]) {
    this.#hosts = hosts;
    this.#hashes = Uint32Array.from(hosts, (host) => hash.ofString(host.id));
    this.#positions = new Map(hosts.map(({ id }, pos) => [id, pos]));
    for (const { dataCentre } of hosts) {
      const count = this.#hostsByDataCentre.get(dataCentre) ?? 0;
      this.#hostsByDataCentre.set(dataCentre, count + 1);
    }
  }

  /** Creates a selector for these hosts; their order does not matter. */
  static create(hosts: readonly Location[]): SubsetSelector {
    return new SubsetSelector(hosts);
  }

  /** Number of hosts assigned to each endpoint: a power of two, or all hosts,
   * so that it rarely changes with the numbers of hosts and endpoints. */
  hostsPerEndpoint(endpoints: number, target = TARGET_ENDPOINT_COUNT): number {
    const needed = target * this.#hosts.length / Math.max(1, endpoints);
    const power = 2 ** Math.ceil(Math.log2(Math.max(1, needed)));
    return Math.min(this.#hosts.length, power);
  }

  /** Ids of the endpoints assigned to a host. */
  select(
    host: string,
    endpoints: readonly Location[],
    target = TARGET_ENDPOINT_COUNT,
  ): Set<string> {
    const hostCount = this.hostsPerEndpoint(endpoints.length, target);
    const chosen = endpoints.filter((endpoint) =>
      this.isAssigned(host, endpoint, hostCount)
    );
    return new Set(chosen.map(({ id }) => id));
  }

  /** Whether a host is among the `hostCount` hosts assigned to an endpoint. */
  isAssigned(host: string, endpoint: Location, hostCount: number): boolean {
    const self = this.#positions.get(host);
    return self !== undefined &&
      this.#ranksWithinQuota(endpoint, self, hostCount);
  }

  /** Whether the host ranks within the quota of its class, local or remote. */
  #ranksWithinQuota(
    endpoint: Location,
    self: number,
    hostCount: number,
  ): boolean {
    const isLocal = this.#hosts[self].dataCentre === endpoint.dataCentre;
    const quotas = this.#quotas(endpoint, hostCount);
    let remaining = isLocal ? quotas.local : quotas.remote;
    if (remaining === 0) return false;
    const key = hash.ofString(endpoint.id);
    const own = hash.combine(key, this.#hashes[self]);
    for (let pos = 0; pos < this.#hosts.length; pos++) {
      const same = this.#hosts[pos].dataCentre === endpoint.dataCentre;
      if (same !== isLocal || pos === self) continue;
      const other = hash.combine(key, this.#hashes[pos]);
      const above = other > own ||
        (other === own && this.#hosts[pos].id > this.#hosts[self].id);
      if (above && --remaining === 0) return false;
    }
    return true;
  }

  /** Number of an endpoint's hosts in its own data centre and in others. */
  #quotas(
    endpoint: Location,
    hostCount: number,
  ): { local: number; remote: number } {
    const localHosts = this.#hostsByDataCentre.get(endpoint.dataCentre) ?? 0;
    const remoteHosts = this.#hosts.length - localHosts;
    const wantedRemote = Math.min(
      remoteHosts,
      Math.floor(hostCount * REMOTE_HOST_RATIO),
    );
    const local = Math.min(localHosts, hostCount - wantedRemote);
    return { local, remote: Math.min(remoteHosts, hostCount - local) };
  }
}
