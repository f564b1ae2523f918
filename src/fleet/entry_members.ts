/** The hosts that take requests, as hosts with disks hear of them.
 * @module */

import * as hash from "../routing/hash.ts";
import type * as schema from "../schema/fleet_types.ts";

/** Milliseconds after which a host that no longer asks counts as lost: some of
 * its questions, and the delay of a busy host. */
const LOST = 1500;

/** Hosts that take requests; changed in place. */
export class EntryMembers {
  readonly #heard = new Map<string, schema.EntryHost & { at: number }>();

  static create(): EntryMembers {
    return new EntryMembers();
  }

  /** Notes what a host says of itself, or what another has heard. */
  record(host: schema.EntryHost, now: number): void {
    const at = now - host.age;
    const known = this.#heard.get(host.host);
    if (known !== undefined && known.at >= at) return;
    this.#heard.set(host.host, { ...host, at });
  }

  /** Hosts that are there. */
  live(now: number): schema.EntryHost[] {
    const live: schema.EntryHost[] = [];
    for (const [id, { at, ...host }] of this.#heard) {
      const age = Math.max(0, now - at);
      if (age > LOST) this.#heard.delete(id);
      else live.push({ ...host, age: Math.round(age) });
    }
    return live;
  }
}

/** Short mark of some hosts and of which are ready: the same wherever the same
 * are known. */
export function digestOf(hosts: readonly schema.EntryHost[]): string {
  const names = hosts.map(({ host, ready }) => `${host} ${ready}`).sort();
  const text = names.join();
  return `${names.length}.${hash.ofString(text)}.${hash.ofString(text, SEED)}`;
}

/** Of the second hash of a mark: 64 bits in all, which no two lists share. */
const SEED = 0x5bd1e995;
