/** Selects the endpoints that this host's request path uses: all endpoints of a
 * small service, and a deterministic subset of a large one.
 * @module */

import type * as membership from "../membership/mod.ts";
import type * as request from "../request/mod.ts";
import * as routing from "../routing/mod.ts";

/** Maximum number of endpoints of a service that every host uses in full. */
export const MAX_UNSPLIT_ENDPOINTS = 128;

/** Cached assignments of one service's endpoints. */
interface ServiceSubset {
  hostsPerEndpoint: number;
  /** Assignments to this host, by endpoint id. */
  assignments: Map<string, Assignment>;
}

interface Assignment {
  dataCentre: string;
  isAssigned: boolean;
}

/** Chooses endpoints, and caches assignments until the set of hosts changes. */
export class EndpointSubsets {
  readonly #self: string;
  #selector = routing.subset.SubsetSelector.create([]);
  #hosts: readonly routing.subset.Location[] = [];
  #services = new Map<string, ServiceSubset>();

  private constructor(self: string) {
    this.#self = self;
  }

  /** Subsets of the host `self`. */
  static create(self: string): EndpointSubsets {
    return new EndpointSubsets(self);
  }

  /** Sets the live hosts; draining ones other than this host are left out.
   * Returns whether the choice may have changed. */
  setHosts(members: readonly membership.Member[]): boolean {
    const hosts = members.filter(({ id, drain }) =>
      drain === undefined || id === this.#self
    ).map(({ id, dataCentre }) => ({ id, dataCentre }));
    if (equal(hosts, this.#hosts)) return false;
    this.#hosts = hosts;
    this.#selector = routing.subset.SubsetSelector.create(hosts);
    this.#services.clear();
    return true;
  }

  /** The endpoints that this host uses. */
  choose(
    endpoints: readonly request.ReachableEndpoint[],
  ): readonly request.ReachableEndpoint[] {
    const sizes = new Map<string, number>();
    for (const { service } of endpoints) {
      sizes.set(service, (sizes.get(service) ?? 0) + 1);
    }
    if (![...sizes.values()].some((size) => size > MAX_UNSPLIT_ENDPOINTS)) {
      this.#services.clear();
      return endpoints;
    }
    const present = new Map<string, ServiceSubset>();
    const chosen = endpoints.filter((endpoint) => {
      const size = sizes.get(endpoint.service)!;
      return size <= MAX_UNSPLIT_ENDPOINTS ||
        this.#isAssigned(endpoint, size, present);
    });
    this.#services = present;
    return chosen;
  }

  /** Whether this host uses an endpoint of a large service. Copies the
   * assignment to `present`, so that those of removed endpoints are dropped. */
  #isAssigned(
    endpoint: request.ReachableEndpoint,
    size: number,
    present: Map<string, ServiceSubset>,
  ): boolean {
    const { id, service, dataCentre } = endpoint;
    const hostsPerEndpoint = this.#selector.hostsPerEndpoint(size);
    const previous = this.#services.get(service);
    const cached = previous?.hostsPerEndpoint === hostsPerEndpoint
      ? previous.assignments.get(id)
      : undefined;
    const assignment = cached?.dataCentre === dataCentre ? cached : {
      dataCentre,
      isAssigned: this.#selector.isAssigned(
        this.#self,
        endpoint,
        hostsPerEndpoint,
      ),
    };
    const subset = present.get(service) ??
      { hostsPerEndpoint, assignments: new Map() };
    subset.assignments.set(id, assignment);
    present.set(service, subset);
    return assignment.isAssigned;
  }
}

function equal(
  left: readonly routing.subset.Location[],
  right: readonly routing.subset.Location[],
): boolean {
  return left.length === right.length &&
    left.every(({ id, dataCentre }, pos) =>
      id === right[pos].id && dataCentre === right[pos].dataCentre
    );
}
