/** Measures what client accounts ask of a service and what they get, by
 * interval.
 * @module */

/** Requests of one account in one rank. */
export interface Flow {
  /** Empty for requests without an account. */
  readonly account: string;
  readonly rank: number;
}

/** Cost of one flow in an interval. */
export interface FlowUse extends Flow {
  readonly offered: number;
  readonly served: number;
}

/** Costs of a service in an interval; sums over `span` milliseconds. */
export interface IntervalUse {
  readonly span: number;
  /** Offered cost that no share refused. */
  readonly admitted: number;
  /** Cost of admitted requests that ended late or for lack of capacity. */
  readonly denied: number;
  readonly accounts: readonly FlowUse[];
}

/** Identifies a flow within its service. */
export function keyOf({ account, rank }: Flow): string {
  return `${rank}/${account}`;
}

interface Counts extends Flow {
  offered: number;
  served: number;
}

/** Counts the costs of one service. Mutable. */
export class Meter {
  #since: number;
  #refused = 0;
  #denied = 0;
  #flows = new Map<string, Counts>();

  private constructor(since: number) {
    this.#since = since;
  }

  /** A meter whose first interval begins at `since`. */
  static create(since: number): Meter {
    return new Meter(since);
  }

  /** Counts the cost of a request that has arrived. */
  offer(flow: Flow, cost: number): void {
    this.#countsOf(flow).offered += cost;
  }

  /** Counts offered cost that is refused. */
  refuse(cost: number): void {
    this.#refused += cost;
  }

  /** Counts cost that is answered. */
  serve(flow: Flow, cost: number): void {
    this.#countsOf(flow).served += cost;
  }

  /** Counts cost that is denied. */
  deny(cost: number): void {
    this.#denied += cost;
  }

  /** Returns the costs of the interval that ends now, and begins the next. Costs
   * that were corrected after their interval can't make a sum negative. */
  take(now: number): IntervalUse {
    const accounts = [...this.#flows.values()].map((counts) => ({
      ...counts,
      offered: Math.max(0, counts.offered),
    }));
    const offered = accounts.reduce((sum, each) => sum + each.offered, 0);
    const use = {
      span: Math.max(1, now - this.#since),
      admitted: Math.max(0, offered - this.#refused),
      denied: this.#denied,
      accounts,
    };
    this.#since = now;
    this.#refused = 0;
    this.#denied = 0;
    this.#flows = new Map();
    return use;
  }

  #countsOf({ account, rank }: Flow): Counts {
    const key = keyOf({ account, rank });
    const known = this.#flows.get(key);
    if (known !== undefined) return known;
    const created = { account, rank, offered: 0, served: 0 };
    this.#flows.set(key, created);
    return created;
  }
}
