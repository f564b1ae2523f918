/** Priority ranks of requests: ordered by account priority, and among requests
 * of equal account priority by route priority.
 * @module */

import type * as configurations from "./configuration.ts";

type Routes = readonly Pick<configurations.Route, "priority">[];
type Accounts = readonly Pick<configurations.Account, "priority">[];

/** Ranks of one version of the configuration. */
export class Ranks {
  /** Number of ranks for each account priority. */
  readonly #ranksPerLevel: number;
  /** Distinct account priorities, the highest first. */
  readonly #levels: readonly number[];

  private constructor(ranksPerLevel: number, levels: readonly number[]) {
    this.#ranksPerLevel = ranksPerLevel;
    this.#levels = levels;
  }

  /** The ranks for given routes and accounts. */
  static of(
    { routes, accounts }: { routes: Routes; accounts: Accounts },
  ): Ranks {
    const ranksPerLevel =
      Math.max(0, ...routes.map(({ priority }) => priority)) + 1;
    const levels = new Set(accounts.flatMap(({ priority }) => priority ?? []));
    return new Ranks(
      ranksPerLevel,
      [...levels].sort((one, other) => one - other),
    );
  }

  /** Rank of a request; 0 is the highest. Requests without an account priority
   * come after those with one. */
  rankOf(
    route: Pick<configurations.Route, "priority">,
    account?: Pick<configurations.Account, "priority">,
  ): number {
    const { priority } = account ?? {};
    const level = priority === undefined ? -1 : this.#levels.indexOf(priority);
    const levelsAbove = level < 0 ? this.#levels.length : level;
    return levelsAbove * this.#ranksPerLevel + route.priority;
  }
}
