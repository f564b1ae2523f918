/** Seeded random numbers, which make runs reproducible.
 * @module */

import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers. */
export interface Random {
  /** Returns a number from 0 up to, but not including, 1. */
  next(): number;
  /** Returns an integer from 0 up to, but not including, `bound`. */
  below(bound: number): number;
}

/** About 2 ** 32 divided by the golden ratio; odd, so that different seeds stay
 * different. */
const SEED_MULTIPLIER = 0x9e3779b1;

/** Like `create`, but mixes the bits of the seed first. Sequences of small seeds
 * start with similar numbers, so runs with seeds 1, 2, 3 would otherwise make
 * the same first choice. */
export function createMixed(seed: number): Random {
  return create(Math.imul(seed, SEED_MULTIPLIER));
}

/** Creates a source of random numbers that depends on `seed` only. */
export function create(seed: number): Random {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const next = () => uniform.uniformFloat64(generator);
  return { next, below: (bound) => Math.floor(next() * bound) };
}
