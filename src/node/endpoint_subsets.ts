/** The endpoints that the request path of this host works with: all of a small
 * service, this host's subset of a large one.
 * @module */

import type * as membership from "../membership/mod.ts";
import type * as request from "../request/mod.ts";
import * as routing from "../routing/mod.ts";

/** Endpoints of one service up to which each host works with all. */
export const MAX_UNSPLIT_ENDPOINTS = 128;

/** What is known of the endpoints of one service. */
interface Service {
  covers: number;
  /** Whether this host works with an endpoint, by id. */
  chosen: Map<string, Choice>;
}

interface Choice {
  dataCentre: string;
  covered: boolean;
}

/** Chooses endpoints; remembers its choices until hosts come or go. */
export class EndpointSubsets {
  readonly #self: string;
  #fleet = routing.subset.SubsetSelector.create([]);
  #hosts: readonly routing.subset.Location[] = [];
  #services = new Map<string, Service>();

  private constructor(self: string) {
    this.#self = self;
  }

  /** Subsets of the host `self`. */
  static create(self: string): EndpointSubsets {
    return new EndpointSubsets(self);
  }

  /** Follows the hosts that take requests; true when the choice may differ. */
  setHosts(members: readonly membership.Member[]): boolean {
    const hosts = members.filter(({ id, drain }) =>
      drain === undefined || id === this.#self
    ).map(({ id, dataCentre }) => ({ id, dataCentre }));
    if (equal(hosts, this.#hosts)) return false;
    this.#hosts = hosts;
    this.#fleet = routing.subset.SubsetSelector.create(hosts);
    this.#services.clear();
    return true;
  }

  /** The endpoints that this host works with. */
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
    const present = new Map<string, Service>();
    const chosen = endpoints.filter((endpoint) => {
      const size = sizes.get(endpoint.service)!;
      return size <= MAX_UNSPLIT_ENDPOINTS ||
        this.#covered(endpoint, size, present);
    });
    this.#services = present;
    return chosen;
  }

  /** Moves what is known of an endpoint to `present`, so that what is gone is
   * forgotten. */
  #covered(
    endpoint: request.ReachableEndpoint,
    size: number,
    present: Map<string, Service>,
  ): boolean {
    const { id, service, dataCentre } = endpoint;
    const covers = this.#fleet.hostsPerEndpoint(size);
    const former = this.#services.get(service);
    const known = former?.covers === covers ? former.chosen.get(id) : undefined;
    const choice = known?.dataCentre === dataCentre ? known : {
      dataCentre,
      covered: this.#fleet.isAssigned(this.#self, endpoint, covers),
    };
    const kept = present.get(service) ?? { covers, chosen: new Map() };
    kept.chosen.set(id, choice);
    present.set(service, kept);
    return choice.covered;
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
