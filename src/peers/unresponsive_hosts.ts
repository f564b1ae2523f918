/** Hosts that did not answer recently and are given lower priority for a time.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** How long a host counts as unresponsive; about the time that membership needs
 * to find out whether it has failed. */
const UNRESPONSIVE_MS = 2000;

/** The hosts that are unresponsive at present; mutable. */
export class UnresponsiveHosts {
  readonly #clock: runtime.Clock;
  readonly #unresponsiveUntil = new Map<string, number>();

  private constructor(clock: runtime.Clock) {
    this.#clock = clock;
  }

  /** Creates an empty set. */
  static create(clock: runtime.Clock): UnresponsiveHosts {
    return new UnresponsiveHosts(clock);
  }

  /** Records that a host did not answer. */
  add(host: string): void {
    this.#unresponsiveUntil.set(host, this.#clock.now() + UNRESPONSIVE_MS);
  }

  /** Whether a host counts as unresponsive. */
  has(host: string): boolean {
    return (this.#unresponsiveUntil.get(host) ?? 0) > this.#clock.now();
  }

  /** Returns hosts in the given order, but unresponsive ones last. */
  deprioritize(hosts: readonly string[]): string[] {
    return [
      ...hosts.filter((host) => !this.has(host)),
      ...hosts.filter((host) => this.has(host)),
    ];
  }
}
