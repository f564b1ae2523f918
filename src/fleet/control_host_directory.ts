/** The control hosts that an entry host may ask. Seeds are a few that were there
 * when the settings were written; answers name those that are there now.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** Milliseconds after the newest naming of any host after which one that is no
 * longer named is forgotten: longer than a cut or a restart. */
const FORGOTTEN = 60_000;

/** Known control hosts; changed in place. */
export class ControlHostDirectory {
  #seeds: readonly string[];
  /** Those that the last proved answer has named. */
  #live: readonly string[] = [];
  readonly #namedAt = new Map<string, number>();
  readonly #failedAt = new Map<string, number>();

  private constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  static create(seeds: readonly string[]): ControlHostDirectory {
    return new ControlHostDirectory(seeds);
  }

  /** Takes seeds of settings that were read again. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Notes hosts that an answer names. One without a proof may come from a host
   * that is behind, but whom it names may be the only ones that are not. */
  addReported(hosts: readonly string[], now: number): void {
    hosts.forEach((host) => this.#namedAt.set(host, now));
    for (const [host, at] of this.#namedAt) {
      if (now - at <= FORGOTTEN) continue;
      this.#namedAt.delete(host);
      this.#failedAt.delete(host);
    }
  }

  /** Notes hosts that a proved answer names. */
  setConfirmed(hosts: readonly string[], now: number): void {
    this.addReported(hosts, now);
    this.#live = hosts;
  }

  /** Notes that a host proved nothing. */
  recordFailure(host: string, now: number): void {
    this.#failedAt.set(host, now);
  }

  /** Notes that a host has proved something. */
  recordSuccess(host: string): void {
    this.#failedAt.delete(host);
  }

  /** All that may be asked: `first`, then in any order those that are there and
   * have not failed, then those that were there once, then those that failed, the
   * last one at the end. */
  inOrderOfPreference(
    first: string | undefined,
    random: runtime.Random,
  ): string[] {
    const rankOf = (host: string) => {
      if (host === first) return -1;
      const isThere = this.current.includes(host);
      return (this.#failedAt.get(host) ?? (isThere ? 0 : 1)) + random.next();
    };
    const rank = new Map(this.all.map((host) => [host, rankOf(host)]));
    return this.all.sort((a, b) => rank.get(a)! - rank.get(b)!);
  }

  /** All that are known. */
  get all(): string[] {
    return [
      ...new Set([...this.#live, ...this.#namedAt.keys(), ...this.#seeds]),
    ];
  }

  /** Those that have duties for the fleet: all hosts derive the same owners from
   * these, so what settings named at some time does not count beside them. */
  get current(): readonly string[] {
    return this.#live.length > 0 ? this.#live : this.#seeds;
  }
}
