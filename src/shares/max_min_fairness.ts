/** Weighted max-min fair division.
 * @module */

/** Demand of one participant in a division. */
export interface WeightedDemand {
  /** Maximum amount that the participant can use. */
  want: number;
  /** Relative weight, greater than 0. */
  weight: number;
}

/** Divides `amount` by weighted max-min fairness: no share exceeds its demand,
 * and a share below its demand could grow only at the expense of a share that is
 * no larger relative to its weight. */
export function divideMaxMin(
  amount: number,
  claims: readonly WeightedDemand[],
): number[] {
  const shares = new Array<number>(claims.length).fill(0);
  let active = claims.map((_, pos) => pos);
  let rest = Math.max(0, amount);
  while (active.length > 0) {
    const weight = sum(active.map((pos) => claims[pos].weight));
    const level = rest / weight;
    const open = active.filter((pos) => {
      return claims[pos].want > level * claims[pos].weight;
    });
    if (open.length === active.length) {
      for (const pos of open) shares[pos] = level * claims[pos].weight;
      break;
    }
    for (const pos of active) {
      const { want, weight } = claims[pos];
      if (want > level * weight) continue;
      shares[pos] = want;
      rest = Math.max(0, rest - want);
    }
    active = open;
  }
  return shares;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
