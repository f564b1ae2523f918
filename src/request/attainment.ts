/** Counts of requests by account and result, such as answered in time.
 * @module */

/** Result of a request. */
export type End = "onTime" | "late" | "refused" | "abandoned";

/** Request counts of one account by result. */
export type Ends = Record<End, number>;

/** Limit of accounts; further ones are counted under `OTHER_ACCOUNTS`. */
const MAX_ACCOUNTS = 1000;
const OTHER_ACCOUNTS = "others";

/** Request counts by account and result. */
export class Attainment {
  readonly #accounts = new Map<string, Ends>();

  static create(): Attainment {
    return new Attainment();
  }

  count(account: string, end: End): void {
    const isFull = !this.#accounts.has(account) &&
      this.#accounts.size >= MAX_ACCOUNTS;
    const name = isFull ? OTHER_ACCOUNTS : account;
    const ends = this.#accounts.get(name) ?? createEnds();
    this.#accounts.set(name, ends);
    ends[end]++;
  }

  toJSON(): Record<string, Ends> {
    return Object.fromEntries(this.#accounts);
  }
}

function createEnds(): Ends {
  return { onTime: 0, late: 0, refused: 0, abandoned: 0 };
}
