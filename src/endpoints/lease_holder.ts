/** Assignment of lease holders to endpoints: rendezvous hashing over the hosts
 * of the endpoint's data centre, so that a partition between data centres does
 * not separate an endpoint from its lease holder.
 * @module */

import * as membership from "../membership/mod.ts";

/** A host that can hold leases. */
export interface Host {
  id: string;
  dataCentre: string;
  /** A draining host gets no leases as long as another host is available. */
  draining: boolean;
}

interface Candidate {
  id: string;
  hash: number;
}

/** The set of possible lease holders; immutable. Hosts with the same view of
 * the members compute the same assignment. */
export class LeaseHolders {
  readonly size: number;
  readonly #all: readonly Candidate[];
  readonly #byDataCentre: ReadonlyMap<string, readonly Candidate[]>;

  private constructor(hosts: readonly Host[]) {
    this.size = hosts.length;
    const ready = hosts.filter((host) => !host.draining);
    const eligible = ready.length > 0 ? ready : hosts;
    const dataCentres = new Map<string, Candidate[]>();
    for (const { id, dataCentre } of eligible) {
      const list = dataCentres.get(dataCentre) ?? [];
      list.push({ id, hash: membership.hash.text(id) });
      dataCentres.set(dataCentre, list);
    }
    this.#byDataCentre = dataCentres;
    this.#all = [...dataCentres.values()].flat();
  }

  /** Creates the set of lease holders from the live hosts. */
  static create(hosts: readonly Host[]): LeaseHolders {
    return new LeaseHolders(hosts);
  }

  /** Returns the lease holder of an endpoint; undefined if there is no host. */
  of(id: string, dataCentre: string): string | undefined {
    const candidates = this.#byDataCentre.get(dataCentre) ?? this.#all;
    const idHash = membership.hash.text(id);
    let best: Candidate | undefined;
    let highest = -1;
    for (const candidate of candidates) {
      const weight = membership.hash.mix(candidate.hash, idHash);
      const wins = weight > highest ||
        (weight === highest && candidate.id > best!.id);
      if (!wins) continue;
      best = candidate;
      highest = weight;
    }
    return best?.id;
  }
}
