/** The platform's balancer as far as callers notice it: requests go to hosts
 * whose health says that they are ready.
 * @module */

import * as fleets from "./fleet.ts";

/** Milliseconds between two looks at all hosts. */
const LOOK = 200;

/** Follows the health of the hosts. */
export class Balancer {
  /** Base URLs of hosts that take requests; changed in place. */
  readonly hosts: string[];
  readonly #fleet: fleets.Fleet;
  #stopped = false;

  constructor(fleet: fleets.Fleet) {
    this.#fleet = fleet;
    this.hosts = fleet.hosts.map((host) => fleet.callersUrl(host));
  }

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    const { hosts } = this.#fleet;
    await Promise.all(hosts.map((host) => this.#follow(host)));
  }

  /** Looks no more. */
  stop(): void {
    this.#stopped = true;
  }

  async #follow(host: string): Promise<void> {
    const url = this.#fleet.callersUrl(host);
    while (!this.#stopped) {
      const ready = await this.#fleet.ready(host);
      const pos = this.hosts.indexOf(url);
      if (ready && pos < 0) this.hosts.push(url);
      // Without any host left, callers go on trying the last one.
      if (!ready && pos >= 0 && this.hosts.length > 1) {
        this.hosts.splice(pos, 1);
      }
      await fleets.pause(LOOK);
    }
  }
}
