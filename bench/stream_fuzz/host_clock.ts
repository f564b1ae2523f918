/** Clock of a host that may stand still: while it does, nothing runs that waits
 * for a time or a message.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";

/** A host's clock; time passes while the host stands still. */
export class HostClock implements runtime.Clock {
  readonly #clock: runtime.Clock;
  #isFrozen = false;
  #pending: (() => void)[] = [];

  constructor(clock: runtime.Clock) {
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now();
  }

  wall(): number {
    return this.#clock.wall();
  }

  after(delay: number, callback: () => void): runtime.Cancel {
    let isCancelled = false;
    const cancel = this.#clock.after(delay, () =>
      this.#run(() => {
        if (!isCancelled) callback();
      }));
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Resolves once the host runs. */
  async running(): Promise<void> {
    if (!this.#isFrozen) return;
    await new Promise<void>((resolve) => this.#run(resolve));
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  thaw(): void {
    this.#isFrozen = false;
    const pending = this.#pending;
    this.#pending = [];
    pending.forEach((callback) => callback());
  }

  #run(callback: () => void): void {
    if (this.#isFrozen) this.#pending.push(callback);
    else callback();
  }
}
