/** @module */

import test from "ava";
import * as division from "./division.ts";

function demand(
  account: string,
  { offered, rank = 0 }: { offered: number; rank?: number },
): division.AccountDemand {
  return { account, rank, offered };
}

function demandsOf(offered: readonly number[], rank = 0) {
  return offered.map((each, pos) =>
    demand(`a-${pos}`, { offered: each, rank })
  );
}

// Load: seven accounts that ask for 5 a second each, and one that floods with
// 250, of a capacity of 100. Guards against a flood that takes the share of
// others.
test("a flood is limited to what the other accounts leave", (t) => {
  const demands = [
    ...demandsOf([5, 5, 5, 5, 5, 5, 5]),
    demand("flood", { offered: 250 }),
  ];
  t.deepEqual(division.divide(100, demands), [
    { account: "flood", rank: 0, rate: 65 },
  ]);
});

test("accounts that all ask for more get equal shares", (t) => {
  const limits = division.divide(90, demandsOf([40, 400, 4000]));
  t.deepEqual(limits.map(({ rate }) => rate), [30, 30, 30]);
});

test("no account is limited while the capacity suffices", (t) => {
  t.deepEqual(division.divide(10, demandsOf([2, 3, 5])), []);
});

// Guards against lower ranks that are starved, and against a higher rank that
// gives up more than the tenth.
test("the lower ranks together keep a tenth of the capacity", (t) => {
  const limits = division.divide(100, [
    demand("high", { offered: 500 }),
    demand("low", { offered: 500, rank: 1 }),
    demand("lowest", { offered: 500, rank: 2 }),
  ]);
  const rates = limits.map(({ rate }) => Math.round(rate));
  t.deepEqual(rates, [90, 9, 1]);
});

test("a higher rank uses what the lower ranks do not ask for", (t) => {
  t.deepEqual(
    division.divide(100, [
      demand("high", { offered: 500 }),
      demand("low", { offered: 4, rank: 1 }),
    ]),
    [{ account: "high", rank: 0, rate: 96 }],
  );
});

test("a lower rank uses what the higher rank does not ask for", (t) => {
  t.deepEqual(
    division.divide(100, [
      demand("high", { offered: 30 }),
      demand("low", { offered: 500, rank: 1 }),
    ]),
    [{ account: "low", rank: 1, rate: 70 }],
  );
});

test("an account is limited separately in each of its ranks", (t) => {
  const limits = division.divide(10, [
    demand("a", { offered: 5 }),
    demand("a", { offered: 50, rank: 3 }),
  ]);
  t.deepEqual(limits, [{ account: "a", rank: 3, rate: 5 }]);
});

test("without capacity, all that ask for something are limited", (t) => {
  const limits = division.divide(0, demandsOf([0, 3]));
  t.deepEqual(limits, [{ account: "a-1", rank: 0, rate: 0 }]);
});
