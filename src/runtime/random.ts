/** Random numbers as the core sees them: seeded, so that a run repeats.
 * @module */

import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers. */
export interface Random {
  /** A number from 0 up to, but not including, 1. */
  next(): number;
  /** A whole number from 0 up to, but not including, `bound`. */
  below(bound: number): number;
}

/** Odd, so that no two seeds become one: about the golden part of 2 ** 32. */
const SPREAD = 0x9e3779b1;

/** As `create`, with seeds spread first: those of small seeds begin much alike,
 * so that a run over seeds 1, 2, 3 draws the same first choice each time. */
export function createMixed(seed: number): Random {
  return create(Math.imul(seed, SPREAD));
}

/** Random numbers that depend on `seed` alone. */
export function create(seed: number): Random {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const next = () => uniform.uniformFloat64(generator);
  return { next, below: (bound) => Math.floor(next() * bound) };
}
