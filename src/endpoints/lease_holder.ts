/** Which host holds the lease of an endpoint: rendezvous hashing over the
 * hosts of its data centre, so that a cut between data centres does not part
 * an endpoint from its holder.
 * @module */

import * as membership from "../membership/mod.ts";

/** A host as far as holding leases goes. */
export interface Host {
  id: string;
  dataCentre: string;
  /** Takes no new leases while other hosts can. */
  draining: boolean;
}

interface Candidate {
  id: string;
  hash: number;
}

/** The hosts that can hold leases; equal wherever views of hosts agree. */
export class LeaseHolders {
  readonly size: number;
  readonly #all: readonly Candidate[];
  readonly #dataCentres: ReadonlyMap<string, readonly Candidate[]>;

  private constructor(hosts: readonly Host[]) {
    this.size = hosts.length;
    const ready = hosts.filter((host) => !host.draining);
    const able = ready.length > 0 ? ready : hosts;
    const dataCentres = new Map<string, Candidate[]>();
    for (const { id, dataCentre } of able) {
      const list = dataCentres.get(dataCentre) ?? [];
      list.push({ id, hash: membership.hash.text(id) });
      dataCentres.set(dataCentre, list);
    }
    this.#dataCentres = dataCentres;
    this.#all = [...dataCentres.values()].flat();
  }

  static create(hosts: readonly Host[]): LeaseHolders {
    return new LeaseHolders(hosts);
  }

  /** The holder of an endpoint's lease; undefined when there is no host. */
  of(id: string, dataCentre: string): string | undefined {
    const candidates = this.#dataCentres.get(dataCentre) ?? this.#all;
    const own = membership.hash.text(id);
    let best: Candidate | undefined;
    let most = -1;
    for (const candidate of candidates) {
      const weight = membership.hash.mix(candidate.hash, own);
      const wins = weight > most ||
        (weight === most && candidate.id > best!.id);
      if (!wins) continue;
      best = candidate;
      most = weight;
    }
    return best?.id;
  }
}
