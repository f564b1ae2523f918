/** A pause by a clock.
 * @module */

import type * as clock from "./clock.ts";

/** Resolves after `ms` milliseconds of the clock. */
export function sleep(source: clock.Clock, ms: number): Promise<void> {
  return new Promise((resolve) => void source.after(ms, () => resolve()));
}
