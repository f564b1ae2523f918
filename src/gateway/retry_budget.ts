/** What of a service's requests this host may send once more.
 *
 * All hosts together must stay under a ratio of the requests plus a burst. A
 * host spends a part of what its own requests earn, and its even part of the
 * burst, so that the bound holds while hosts cannot speak to each other.
 * @module */

/** Bounds of the whole fleet for one service. */
export interface RetryBounds {
  /** Part of the requests. */
  readonly ratio: number;
  /** Number beyond that. */
  readonly burst: number;
  /** Milliseconds over which both are counted. */
  readonly window: number;
}

/** Part of the bounds that is spent: hosts may know each other's number late,
 * by one in three, and windows slide. */
const SPENT = 0.6;

/** Counts of one service; changed in place. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  #requests: number[] = [];
  #repeats: number[] = [];

  private constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  static create(bounds: RetryBounds): RetryBudget {
    return new RetryBudget(bounds);
  }

  /** Notes a request of a caller. */
  deposit(now: number): void {
    this.#forget(now);
    this.#requests.push(now);
  }

  /** Takes the right to one more send; false when there is none. */
  tryWithdraw(now: number, hosts: number): boolean {
    this.#forget(now);
    if (this.#repeats.length + 1 > this.allowance(hosts)) return false;
    this.#repeats.push(now);
    return true;
  }

  /** Sends that the window allows, with so many hosts in the fleet. */
  allowance(hosts: number): number {
    const { ratio, burst } = this.#bounds;
    const earned = ratio * this.#requests.length;
    return SPENT * (earned + burst / Math.max(1, hosts));
  }

  #forget(now: number): void {
    const from = now - this.#bounds.window;
    this.#requests = later(this.#requests, from);
    this.#repeats = later(this.#repeats, from);
  }
}

/** Times after `from`; `times` is in order. */
function later(times: number[], from: number): number[] {
  if (times.length === 0 || times[0] > from) return times;
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}
