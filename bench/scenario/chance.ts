/** Random numbers for one thing of many, such as a call: drawn from its
 * numbers alone, so that they do not depend on the order of events.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";

/** Random numbers for the thing with these numbers. Mixed well, since the
 * first draws of neighbouring seeds are alike. */
export function chanceOf(...numbers: readonly number[]): runtime.Random {
  let state = 0x9e3779b9;
  for (const number of numbers) state = mix(state ^ number);
  return runtime.createRandom(state);
}

/** Final mix of MurmurHash3. */
function mix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) + 0x9e3779b9 | 0;
}
