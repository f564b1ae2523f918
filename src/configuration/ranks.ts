/** Which requests go before which others: those of the account with the higher
 * priority, and of two of the same account priority those of the route with the
 * higher one.
 * @module */

import type * as configurations from "./configuration.ts";

type Routes = readonly Pick<configurations.Route, "priority">[];
type Accounts = readonly Pick<configurations.Account, "priority">[];

/** Ranks of one version of the configuration. */
export class Ranks {
  /** Ranks that requests of one account priority take up. */
  readonly #span: number;
  /** Priorities of accounts, the highest first. */
  readonly #levels: readonly number[];

  private constructor(span: number, levels: readonly number[]) {
    this.#span = span;
    this.#levels = levels;
  }

  /** The ranks that routes and accounts give. */
  static of(
    { routes, accounts }: { routes: Routes; accounts: Accounts },
  ): Ranks {
    const span = Math.max(0, ...routes.map(({ priority }) => priority)) + 1;
    const levels = new Set(accounts.flatMap(({ priority }) => priority ?? []));
    return new Ranks(span, [...levels].sort((one, other) => one - other));
  }

  /** Rank of a request; 0 is the highest. One without an account priority goes
   * after those that have one. */
  rankOf(
    route: Pick<configurations.Route, "priority">,
    account?: Pick<configurations.Account, "priority">,
  ): number {
    const { priority } = account ?? {};
    const level = priority === undefined ? -1 : this.#levels.indexOf(priority);
    const before = level < 0 ? this.#levels.length : level;
    return before * this.#span + route.priority;
  }
}
