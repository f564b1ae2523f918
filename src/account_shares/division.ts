/** Divides the capacity of a service among the client accounts that ask for it.
 * @module */

import * as maxMinFairness from "../shares/max_min_fairness.ts";

/** Fraction of the capacity that the lower ranks together keep, so that none of
 * them is starved. */
const LOWER_RANKS_RATIO = 0.1;

/** What one account asks for, in cost per second. */
export interface AccountDemand {
  /** Empty for requests without an account. */
  readonly account: string;
  /** Priority rank; 0 is the highest. */
  readonly rank: number;
  readonly offered: number;
}

/** What one account may use, in cost per second. */
export interface AccountLimit {
  readonly account: string;
  readonly rank: number;
  readonly rate: number;
}

/** Divides a capacity in cost per second: by rank first, within a rank by
 * max-min fairness. Returns limits only for the accounts that ask for more than
 * their share. */
export function divide(
  capacity: number,
  demands: readonly AccountDemand[],
): AccountLimit[] {
  const ranks = [...new Set(demands.map(({ rank }) => rank))]
    .sort((one, other) => one - other);
  const limits: AccountLimit[] = [];
  let rest = Math.max(0, capacity);
  for (const rank of ranks) {
    const own = demands.filter((each) => each.rank === rank);
    const lower = offeredOf(demands.filter((each) => each.rank > rank));
    const available = rest - Math.min(lower, LOWER_RANKS_RATIO * rest);
    limits.push(...limitsWithin(available, own));
    rest -= Math.min(offeredOf(own), available);
  }
  return limits;
}

/** Limits of the accounts of one rank. */
function limitsWithin(
  amount: number,
  demands: readonly AccountDemand[],
): AccountLimit[] {
  const shares = maxMinFairness.divideMaxMin(
    amount,
    demands.map(({ offered }) => ({ want: offered, weight: 1 })),
  );
  return demands.flatMap(({ account, rank, offered }, pos) =>
    offered > shares[pos] ? [{ account, rank, rate: shares[pos] }] : []
  );
}

function offeredOf(demands: readonly AccountDemand[]): number {
  return demands.reduce((sum, { offered }) => sum + offered, 0);
}
