/** A pause by a clock.
 * @module */

import type * as clock from "./clock.ts";

/** Interval in milliseconds at which `until` checks its condition. */
const CHECK_INTERVAL_MS = 50;

/** Resolves once a condition holds, or after `timeout` milliseconds. */
export async function until(
  source: clock.Clock,
  holds: () => boolean,
  { timeout }: { timeout: number },
): Promise<void> {
  const deadline = source.now() + timeout;
  for (;;) {
    // Reads what has arrived: it may be waiting for this process.
    await new Promise((resolve) => setImmediate(resolve));
    if (holds() || source.now() >= deadline) return;
    await sleep(source, CHECK_INTERVAL_MS);
  }
}

/** Resolves after `ms` milliseconds of the clock. */
export function sleep(source: clock.Clock, ms: number): Promise<void> {
  return new Promise((resolve) => void source.after(ms, () => resolve()));
}
