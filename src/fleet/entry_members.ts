/** Liveness of the entry hosts, as control hosts see it.
 * @module */

import * as hash from "../routing/hash.ts";
import type * as schema from "../schema/fleet_types.ts";

/** Time without a sync request after which an entry host counts as lost: some
 * sync intervals and the delay of a busy host. */
const LIVENESS_TIMEOUT_MS = 1500;

/** Entry hosts as a control host sees them; mutable. */
export class EntryMembers {
  readonly #hosts = new Map<string, schema.EntryHost & { at: number }>();

  static create(): EntryMembers {
    return new EntryMembers();
  }

  /** Records what a host reports of itself, or what another control host has
   * received from it; the newer report wins. */
  record(host: schema.EntryHost, now: number): void {
    const at = now - host.age;
    const known = this.#hosts.get(host.host);
    if (known !== undefined && known.at >= at) return;
    this.#hosts.set(host.host, { ...host, at });
  }

  /** Live hosts. */
  live(now: number): schema.EntryHost[] {
    const live: schema.EntryHost[] = [];
    for (const [id, { at, ...host }] of this.#hosts) {
      const age = Math.max(0, now - at);
      if (age > LIVENESS_TIMEOUT_MS) this.#hosts.delete(id);
      else live.push({ ...host, age: Math.round(age) });
    }
    return live;
  }
}

/** Digest of a list of hosts, their readiness and capacity; independent of order
 * and age, so that equal lists have equal digests on all hosts. */
export function digestOf(hosts: readonly schema.EntryHost[]): string {
  const keys = hosts.map(({ host, ready, capacity = "" }) =>
    `${host} ${ready} ${capacity}`
  ).sort();
  const text = keys.join();
  return `${keys.length}.${hash.ofString(text)}.${
    hash.ofString(text, SECOND_SEED)
  }`;
}

/** Seed of the second 32-bit hash: with 64 bits in all, collisions are not to
 * be expected. */
const SECOND_SEED = 0x5bd1e995;
