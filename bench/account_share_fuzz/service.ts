/** The endpoints of one service in virtual time, as one queue before all their
 * slots.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";

/** How a request ended. */
export type Outcome = "served" | "late" | "denied";

/** Dependencies and size of a `Service`. */
export interface ServiceOptions {
  readonly clock: runtime.Clock;
  /** Cost per second that one slot serves. */
  readonly slotRate: number;
  slots: number;
  /** Milliseconds of work in the queue above which a request is denied. */
  readonly maxQueue: number;
}

/** Milliseconds until an answer after which it is late. */
const OBJECTIVE_MS = 2500;

interface Waiting {
  readonly cost: number;
  readonly arrivedAt: number;
  onEnd(outcome: Outcome): void;
}

/** Serves requests in order of arrival. Mutable. */
export class Service {
  readonly #options: ServiceOptions;
  readonly #queue: Waiting[] = [];
  #queuedCost = 0;
  #busy = 0;

  constructor(options: ServiceOptions) {
    this.#options = options;
  }

  /** Cost per second that all slots serve. */
  get capacity(): number {
    return this.#options.slots * this.#options.slotRate;
  }

  get slots(): number {
    return this.#options.slots;
  }

  set slots(slots: number) {
    this.#options.slots = slots;
    this.#serveNext();
  }

  /** Serves a request, or denies it at once. */
  run(cost: number, onEnd: (outcome: Outcome) => void): void {
    const queuedMs = 1000 * this.#queuedCost / this.capacity;
    if (queuedMs > this.#options.maxQueue) return onEnd("denied");
    const arrivedAt = this.#options.clock.now();
    this.#queue.push({ cost, arrivedAt, onEnd });
    this.#queuedCost += cost;
    this.#serveNext();
  }

  #serveNext(): void {
    const { clock, slotRate } = this.#options;
    while (this.#busy < this.#options.slots) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      this.#busy++;
      this.#queuedCost -= next.cost;
      clock.after(1000 * next.cost / slotRate, () => {
        this.#busy--;
        const isLate = clock.now() - next.arrivedAt > OBJECTIVE_MS;
        next.onEnd(isLate ? "late" : "served");
        this.#serveNext();
      });
    }
  }
}
