/** Retry budget of a service on one host.
 *
 * The retries of all hosts together must stay below a ratio of the requests
 * plus a burst. Each host uses a part of the ratio of its own requests and an
 * equal share of the burst, so the bound holds even while hosts can't
 * communicate. A host that has started uses a smaller part of its share for a
 * window: the process before it, whose requests and retries it doesn't know, may
 * have used the rest just before its end.
 * @module */

/** Bounds of a service's retries for the whole fleet. */
export interface RetryBounds {
  /** Retries per request. */
  readonly ratio: number;
  /** Number of retries beyond the ratio. */
  readonly burst: number;
  /** Sliding window over which both are counted, in milliseconds. */
  readonly window: number;
}

/** Use of a budget at one time, for log lines. */
export interface Balance {
  /** Requests in the window. */
  readonly requests: number;
  /** Retries in the window. */
  readonly retries: number;
  /** Retries that are allowed in the window; a fraction is of no use. */
  readonly allowance: number;
  /** Number of hosts that share the burst, as far as this host knows. */
  readonly hosts: number;
}

/** Part of the bounds that is used: a host's count of hosts may lag by one in
 * three, and windows slide. */
const USED_RATIO = 0.6;
/** Part of its share of the burst that a host uses in the first window after its
 * start: what the process before it has left, if that ran for a window. */
const FIRST_BURST_RATIO = 1 - USED_RATIO;

/** Milliseconds for which an account gets no retries after a request of it was
 * refused for its share: limits of shares are renewed every 500 ms, and an
 * account that exceeds its share has a refusal within two of these times. */
const WITHHOLDING_MS = 1000;

/** Requests and retries of one service; changed in place. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  /** End of the first window after the host's start. */
  readonly #firstUntil: number;
  #requests: number[] = [];
  #retries: number[] = [];
  /** Times until which accounts get no retries. */
  readonly #withheldUntil = new Map<string, number>();

  private constructor(bounds: RetryBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#firstUntil = startedAt + bounds.window;
  }

  /** Creates the budget of a host that started at `startedAt`; of one that has
   * run for long by default. */
  static create(
    bounds: RetryBounds,
    { startedAt = -Infinity }: { startedAt?: number } = {},
  ): RetryBudget {
    return new RetryBudget(bounds, startedAt);
  }

  /** Records a caller's request. */
  deposit(now: number): void {
    this.#expire(now);
    this.#requests.push(now);
  }

  /** Withdraws one retry; returns false if the budget is exhausted. */
  tryWithdraw(now: number, hosts: number): boolean {
    this.#expire(now);
    if (this.#retries.length + 1 > this.allowance(now, hosts)) return false;
    this.#retries.push(now);
    return true;
  }

  /** Withholds retries from an account that exceeds its share. It would use up
   * the budget of the other accounts, whose rejected calls must be retried for
   * them to get their shares. */
  withhold(account: string, now: number): void {
    this.#withheldUntil.set(account, now + WITHHOLDING_MS);
  }

  /** Whether an account gets no retries now. */
  isWithheldFrom(account: string, now: number): boolean {
    const until = this.#withheldUntil.get(account);
    if (until === undefined) return false;
    if (now < until) return true;
    this.#withheldUntil.delete(account);
    return false;
  }

  /** Retries allowed in the window that ends now, in a fleet of `hosts` hosts. */
  allowance(now: number, hosts: number): number {
    const { ratio, burst } = this.#bounds;
    const isFirst = now < this.#firstUntil;
    const burstRatio = isFirst ? FIRST_BURST_RATIO : USED_RATIO;
    const share = burst / Math.max(1, hosts);
    return USED_RATIO * ratio * this.#requests.length + burstRatio * share;
  }

  /** Use of the budget in the window that ends now. */
  balance(now: number, hosts: number): Balance {
    this.#expire(now);
    return {
      requests: this.#requests.length,
      retries: this.#retries.length,
      allowance: Number(this.allowance(now, hosts).toFixed(2)),
      hosts,
    };
  }

  #expire(now: number): void {
    const from = now - this.#bounds.window;
    this.#requests = timesAfter(this.#requests, from);
    this.#retries = timesAfter(this.#retries, from);
  }
}

/** The times after `from`; `times` is sorted. */
function timesAfter(times: number[], from: number): number[] {
  if (times.length === 0 || times[0] > from) return times;
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}
