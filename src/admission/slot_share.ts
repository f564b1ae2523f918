/** This host's share of a service's slots, by which the gate predicts.
 *
 * Hosts share no counts. Each takes its own calls in flight, scaled by slots
 * over all calls that endpoints report, plus half of what is free, or one
 * call. Shares of all hosts add up to about the slots when these are in use.
 * @module */

import type * as request from "../request/mod.ts";

/** Milliseconds for which a report counts. */
const FRESH = 3000;

/** Part of the free slots that one host may take before the next report. */
const FREE_PART = 0.5;

interface Member {
  slots: number;
  load?: request.Load;
}

/** Share of one service's slots; changed in place. */
export class SlotShare {
  readonly #members = new Map<string, Member>();
  #own = 0;

  private constructor() {}

  static create(): SlotShare {
    return new SlotShare();
  }

  /** Slots of all usable endpoints. */
  get slots(): number {
    let slots = 0;
    for (const member of this.#members.values()) slots += member.slots;
    return slots;
  }

  /** Takes the usable endpoints with their slots. */
  setEndpoints(endpoints: ReadonlyMap<string, number>): void {
    for (const id of this.#members.keys()) {
      if (!endpoints.has(id)) this.#members.delete(id);
    }
    for (const [id, slots] of endpoints) {
      const load = this.#members.get(id)?.load;
      this.#members.set(id, { slots, load });
    }
  }

  report(endpoint: string, load: request.Load): void {
    const member = this.#members.get(endpoint);
    if (member !== undefined) member.load = load;
  }

  /** Counts a call that starts, or one that ends. */
  addCalls(change: 1 | -1): void {
    this.#own = Math.max(0, this.#own + change);
  }

  /** Slots that this host can count on; infinite while the endpoints report
   * nothing. */
  usableSlots(now: number): number {
    let slots = 0;
    let calls = 0;
    for (const member of this.#members.values()) {
      const { load } = member;
      if (load === undefined || now - load.at > FRESH) return Infinity;
      slots += member.slots;
      calls += load.running + load.waiting;
    }
    if (slots === 0) return Infinity;
    const free = Math.max(1, FREE_PART * (slots - calls));
    const scaled = calls > 0 ? this.#own * slots / calls : this.#own;
    return Math.min(slots, Math.max(1, scaled + free));
  }
}
