/** Limits that a host keeps for all of its clients together. Each has a default
 * that follows from the limits of its machine.
 * @module */

import * as settings from "./settings.ts";

/** Bytes of a host that serves nothing. */
const RESTING_BYTES = 120_000_000;
/** Part of its other memory that requests may take; the rest is for connections,
 * for what has arrived and is not read, and for memory that is not collected yet. */
const REQUEST_RATIO = 1 / 4;
/** Part of its memory that requests may take at least. */
const MIN_REQUEST_RATIO = 1 / 16;

/** Most bytes that a host may hold for all requests together. */
export function requestBytes(
  host: Pick<settings.HostSettings, "memory" | "limits">,
): number {
  const memory = settings.memoryOf(host);
  return host.limits["request-bytes"] ?? Math.max(
    MIN_REQUEST_RATIO * memory,
    REQUEST_RATIO * (memory - RESTING_BYTES),
  );
}
