import test from "ava";
import * as fastCheck from "fast-check";
import * as shares from "./mod.ts";

const claims = fastCheck.array(
  fastCheck.record({
    want: fastCheck.integer({ min: 0, max: 1000 }),
    weight: fastCheck.integer({ min: 1, max: 9 }),
  }),
  { maxLength: 40 },
);
const amounts = fastCheck.integer({ min: 0, max: 5000 });

/** Reference implementation that sorts the demands: the smallest one relative to
 * its weight is met first. */
function divideBySorting(
  amount: number,
  claims: readonly shares.WeightedDemand[],
) {
  const filled = new Array<number>(claims.length).fill(0);
  const order = claims.map((_, pos) => pos).sort((left, right) =>
    claims[left].want / claims[left].weight -
    claims[right].want / claims[right].weight
  );
  let rest = amount;
  let weights = claims.reduce((sum, { weight }) => sum + weight, 0);
  for (const pos of order) {
    const { want, weight } = claims[pos];
    filled[pos] = Math.min(want, rest * weight / weights);
    rest -= filled[pos];
    weights -= weight;
  }
  return filled;
}

test("the division equals water-filling over sorted demands", (t) => {
  fastCheck.assert(
    fastCheck.property(amounts, claims, (amount, claims) => {
      const fast = shares.divideMaxMin(amount, claims);
      const naive = divideBySorting(amount, claims);
      fast.forEach((share, pos) => {
        if (Math.abs(share - naive[pos]) > 1e-6) throw new Error(`${pos}`);
      });
    }),
    { seed: 1, numRuns: 1000 },
  );
  t.pass();
});

test("the division allots all demand, and never more than the amount", (t) => {
  fastCheck.assert(
    fastCheck.property(amounts, claims, (amount, claims) => {
      const used = shares.divideMaxMin(amount, claims).reduce(
        (a, b) => a + b,
        0,
      );
      const wanted = claims.reduce((sum, { want }) => sum + want, 0);
      return Math.abs(used - Math.min(amount, wanted)) < 1e-6;
    }),
    { seed: 2, numRuns: 1000 },
  );
  t.pass();
});
