/** Budget for extra calls, such as retries and hedges: a share of the service's
 * recent requests, so that failures cannot multiply the load.
 * @module */

/** Configuration of a budget. */
export interface Options {
  /** Extra calls granted for each request, such as 0.1. */
  ratio: number;
  /** Extra calls per second that are granted even without requests. */
  floor?: number;
  /** Maximum number of extra calls that accumulate. */
  burst?: number;
}

/** Half-life of the balance. */
const HALF_LIFE_MS = 10_000;
/** Default of `floor`: extra calls per second. */
const DEFAULT_FLOOR = 0.2;
/** Default of `burst`. */
const DEFAULT_BURST = 20;

/** Budget for extra calls of one service; mutated in place. */
export class ExtraCallBudget {
  #ratio: number;
  #floor: number;
  #burst: number;
  #balance: number;
  #updatedAt: number;

  private constructor(options: Options, now: number) {
    this.#ratio = options.ratio;
    this.#floor = options.floor ?? DEFAULT_FLOOR;
    this.#burst = options.burst ?? DEFAULT_BURST;
    this.#balance = this.#floor > 0 ? Math.min(1, this.#burst) : 0;
    this.#updatedAt = now;
  }

  /** Creates a budget with a balance of one call, or of none if `floor` is
   * 0. */
  static create(options: Options, now: number): ExtraCallBudget {
    return new ExtraCallBudget(options, now);
  }

  /** Adds the share of one request; retries are not deposited. `scale` scales
   * the share. */
  deposit(now: number, scale = 1): void {
    this.#decay(now);
    const balance = this.#balance + this.#ratio * scale;
    this.#balance = Math.min(this.#burst, balance);
  }

  /** Number of extra calls that may be made now. */
  available(now: number): number {
    this.#decay(now);
    return this.#balance;
  }

  /** Withdraws the cost of an extra call; returns false and withdraws nothing
   * when the balance is too low. */
  take(now: number, cost = 1): boolean {
    if (this.available(now) < cost) return false;
    this.#balance -= cost;
    return true;
  }

  #decay(now: number): void {
    const passed = now - this.#updatedAt;
    if (passed <= 0) return;
    this.#updatedAt = now;
    const kept = this.#balance * 2 ** (-passed / HALF_LIFE_MS);
    const floor = Math.min(1, kept + this.#floor * passed / 1000);
    this.#balance = Math.max(kept, floor);
  }
}
