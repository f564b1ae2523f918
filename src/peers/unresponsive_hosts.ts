/** Hosts that did not answer lately, and are asked last for a while.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** Milliseconds for which a host that did not answer is left out: about until
 * it is known whether it is there. */
const LEFT_OUT = 2000;

/** Hosts that are left out; changed in place. */
export class UnresponsiveHosts {
  readonly #clock: runtime.Clock;
  readonly #until = new Map<string, number>();

  private constructor(clock: runtime.Clock) {
    this.#clock = clock;
  }

  static create(clock: runtime.Clock): UnresponsiveHosts {
    return new UnresponsiveHosts(clock);
  }

  /** Notes that a host did not answer. */
  add(host: string): void {
    this.#until.set(host, this.#clock.now() + LEFT_OUT);
  }

  has(host: string): boolean {
    return (this.#until.get(host) ?? 0) > this.#clock.now();
  }

  /** Hosts in their order, those that are left out last. */
  deprioritize(hosts: readonly string[]): string[] {
    return [
      ...hosts.filter((host) => !this.has(host)),
      ...hosts.filter((host) => this.has(host)),
    ];
  }
}
