/** Sizes and times drawn by chance.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import type * as deployments from "./deployment.ts";

/** A number of the normal distribution of mean 0 and spread 1. */
export function normal(random: runtime.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** A size around its mean, by the logarithmic normal distribution. */
export function size(
  { mean, spread, most }: deployments.Size,
  random: runtime.Random,
): number {
  if (spread === 0) return Math.min(most, mean);
  const factor = Math.exp(spread * normal(random) - spread * spread / 2);
  return Math.min(most, mean * factor);
}

/** Milliseconds to the next of events that come at a rate a second. */
export function gap(rate: number, random: runtime.Random): number {
  return -Math.log(1 - random.next()) * 1000 / rate;
}
