/** Regression bounds of the scenarios, by the ends of their names. They hold
 * what was reached, a little below or above it; see docs/design/admission.md
 * for what is still short of its aim.
 * @module */

import type * as result from "../result.ts";

const BOUNDS: readonly (readonly [RegExp, result.Bound])[] = [
  [/own\/violations$/, { most: 0 }],
  [/steady\/hosts \d+\/own\/attainment$/, { least: 0.999 }],
  [/long-history\/hosts \d+\/own\/attainment$/, { least: 0.999 }],
  [/burst\/hosts \d+\/own\/goodput$/, { least: 0.9 }],
  [/burst\/hosts \d+\/own\/attainment of the highest weighted$/, {
    least: 0.95,
  }],
  [/(burst|straggler|failing|silent)\/hosts \d+\/misses of naive$/, {
    most: 0.5,
  }],
];

/** Bound of the result with this name. */
export function boundOf(name: string): result.Bound | undefined {
  return BOUNDS.find(([pattern]) => pattern.test(name))?.[1];
}
