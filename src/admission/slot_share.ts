/** This host's share of a service's slots, from which queueing delays are
 * predicted.
 *
 * Hosts exchange no counts. Each host takes its own calls in flight, scaled by
 * the ratio of slots to all calls that the endpoints report, plus half of the
 * free slots, or one slot. The shares of all hosts add up to about the total
 * number of slots when all slots are in use.
 * @module */

import type * as request from "../request/mod.ts";

/** Maximum age of a load report that is used. */
const MAX_AGE_MS = 3000;

/** Part of the free slots that one host may take until the next report. */
const FREE_SLOT_RATIO = 0.5;

/** A usable endpoint and its last load report. */
interface Endpoint {
  slots: number;
  load?: request.Load;
}

/** This host's share of one service's slots; mutated in place. */
export class SlotShare {
  readonly #endpoints = new Map<string, Endpoint>();
  #ownCalls = 0;

  private constructor() {}

  static create(): SlotShare {
    return new SlotShare();
  }

  /** Slots of all usable endpoints. */
  get slots(): number {
    let slots = 0;
    for (const endpoint of this.#endpoints.values()) slots += endpoint.slots;
    return slots;
  }

  /** Replaces the usable endpoints and their slots; load reports are kept. */
  setEndpoints(endpoints: ReadonlyMap<string, number>): void {
    for (const id of this.#endpoints.keys()) {
      if (!endpoints.has(id)) this.#endpoints.delete(id);
    }
    for (const [id, slots] of endpoints) {
      const load = this.#endpoints.get(id)?.load;
      this.#endpoints.set(id, { slots, load });
    }
  }

  /** Records an endpoint's load report. */
  report(endpoint: string, load: request.Load): void {
    const known = this.#endpoints.get(endpoint);
    if (known !== undefined) known.load = load;
  }

  /** Counts a call of this host that starts (1) or ends (-1). */
  addCalls(change: 1 | -1): void {
    this.#ownCalls = Math.max(0, this.#ownCalls + change);
  }

  /** Slots that this host can count on; infinite unless all endpoints have a
   * recent report. */
  usableSlots(now: number): number {
    let slots = 0;
    let calls = 0;
    for (const endpoint of this.#endpoints.values()) {
      const { load } = endpoint;
      if (load === undefined || now - load.at > MAX_AGE_MS) return Infinity;
      slots += endpoint.slots;
      calls += load.running + load.waiting;
    }
    if (slots === 0) return Infinity;
    const free = Math.max(1, FREE_SLOT_RATIO * (slots - calls));
    const scaled = calls > 0 ? this.#ownCalls * slots / calls : this.#ownCalls;
    return Math.min(slots, Math.max(1, scaled + free));
  }
}
