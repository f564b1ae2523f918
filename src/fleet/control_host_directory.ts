/** The control hosts that an entry host may sync with. Seeds are some that
 * existed when the settings were written; replies list the present ones.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** Time after which a host that replies no longer list is forgotten, counted up
 * to the last reply that lists any: longer than a network partition or a
 * restart. */
const RETENTION_MS = 60_000;

/** Known control hosts; mutable. */
export class ControlHostDirectory {
  #seeds: readonly string[];
  /** Hosts that the last confirmed reply listed. */
  #confirmed: readonly string[] = [];
  readonly #listedAt = new Map<string, number>();
  readonly #failedAt = new Map<string, number>();

  private constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  static create(seeds: readonly string[]): ControlHostDirectory {
    return new ControlHostDirectory(seeds);
  }

  /** Replaces the seeds after a reload of the settings. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Adds hosts that a reply lists. An unconfirmed reply may come from a
   * control host that is out of date, but the hosts it lists may be the only
   * ones that are up to date. */
  addReported(hosts: readonly string[], now: number): void {
    hosts.forEach((host) => this.#listedAt.set(host, now));
    for (const [host, at] of this.#listedAt) {
      if (now - at <= RETENTION_MS) continue;
      this.#listedAt.delete(host);
      this.#failedAt.delete(host);
    }
  }

  /** Sets the present hosts to those that a confirmed reply lists. */
  setConfirmed(hosts: readonly string[], now: number): void {
    this.addReported(hosts, now);
    this.#confirmed = hosts;
  }

  /** Records that a host gave no confirmed reply. */
  recordFailure(host: string, now: number): void {
    this.#failedAt.set(host, now);
  }

  /** Records that a host gave a confirmed reply. */
  recordSuccess(host: string): void {
    this.#failedAt.delete(host);
  }

  /** All hosts in the order to try them: `first`, then the present hosts that
   * have not failed, then hosts that were listed earlier, each group in random
   * order, then those that failed, the most recent failure last. */
  inOrderOfPreference(
    first: string | undefined,
    random: runtime.Random,
  ): string[] {
    const rankOf = (host: string) => {
      if (host === first) return -1;
      const isPresent = this.current.includes(host);
      return (this.#failedAt.get(host) ?? (isPresent ? 0 : 1)) + random.next();
    };
    const rank = new Map(this.all.map((host) => [host, rankOf(host)]));
    return this.all.sort((a, b) => rank.get(a)! - rank.get(b)!);
  }

  /** All known hosts. */
  get all(): string[] {
    return [...new Set([...this.listed, ...this.#seeds])];
  }

  /** Hosts that replies list or have listed of late; the seeds before the
   * first confirmed reply. */
  get listed(): readonly string[] {
    return [...new Set([...this.current, ...this.#listedAt.keys()])];
  }

  /** Hosts that own fleet-wide tasks. All entry hosts must derive the same
   * owners from this list, so seeds, which differ between hosts, count only
   * until the first confirmed reply. */
  get current(): readonly string[] {
    return this.#confirmed.length > 0 ? this.#confirmed : this.#seeds;
  }
}
