/** How many extra calls, such as retries, a service may get: a share of its
 * recent requests, so that failures never multiply the load.
 * @module */

/** What a budget grants. */
export interface Options {
  /** Extra calls for each request, such as 0.1. */
  ratio: number;
  /** Extra calls a second that are granted even without requests. */
  floor?: number;
  /** Most extra calls that can be saved up. */
  burst?: number;
}

/** Milliseconds in which half of what was saved up is lost. */
const HALF_LIFE = 10_000;
/** Extra calls a second granted to a service with hardly any requests. */
const FLOOR = 0.2;
/** Extra calls that can be saved up. */
const BURST = 20;

/** Budget of extra calls of one service; changed in place. */
export class ExtraCallBudget {
  #share: number;
  #floor: number;
  #burst: number;
  #balance: number;
  #updated: number;

  private constructor(limits: Options, now: number) {
    this.#share = limits.ratio;
    this.#floor = limits.floor ?? FLOOR;
    this.#burst = limits.burst ?? BURST;
    this.#balance = this.#floor > 0 ? Math.min(1, this.#burst) : 0;
    this.#updated = now;
  }

  /** A budget that holds one call to start with, unless its floor is 0. */
  static create(limits: Options, now: number): ExtraCallBudget {
    return new ExtraCallBudget(limits, now);
  }

  /** Counts a request, not a repeated call; `scale` scales its share. */
  deposit(now: number, scale = 1): void {
    this.#decay(now);
    const balance = this.#balance + this.#share * scale;
    this.#balance = Math.min(this.#burst, balance);
  }

  /** Extra calls granted now. */
  available(now: number): number {
    this.#decay(now);
    return this.#balance;
  }

  /** Takes the cost of an extra call, or nothing and returns false. */
  take(now: number, cost = 1): boolean {
    if (this.available(now) < cost) return false;
    this.#balance -= cost;
    return true;
  }

  #decay(now: number): void {
    const passed = now - this.#updated;
    if (passed <= 0) return;
    this.#updated = now;
    const kept = this.#balance * 2 ** (-passed / HALF_LIFE);
    const floor = Math.min(1, kept + this.#floor * passed / 1000);
    this.#balance = Math.max(kept, floor);
  }
}
