/** How many requests of each account were answered in time.
 * @module */

/** How a request ended, for its account. */
export type End = "onTime" | "late" | "refused" | "abandoned";

/** Requests of one account by end. */
export type Ends = Record<End, number>;

/** Most accounts; others are counted under `OTHERS`. */
const MOST = 1000;
const OTHERS = "others";

/** Ends of requests by account; changed in place. */
export class Attainment {
  readonly #accounts = new Map<string, Ends>();

  static create(): Attainment {
    return new Attainment();
  }

  count(account: string, end: End): void {
    const full = !this.#accounts.has(account) && this.#accounts.size >= MOST;
    const name = full ? OTHERS : account;
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
