/** Why endpoints accept no calls, and when a caller should retry.
 * @module */

import type * as endpoints from "./endpoint.ts";
import * as refusals from "./refusal.ts";

/** Reason, and details for the answer and the log line of a request. */
export interface Unavailability {
  readonly reason: refusals.RefusalReason;
  readonly details: Readonly<Record<string, unknown>> & {
    /** Seconds until a retry. */
    readonly retryAfter: number;
  };
}

/** Why none of the endpoints of a service accepts calls at the time `now`. */
export function unavailabilityOf(
  known: readonly endpoints.Endpoint[],
  now: number,
): Unavailability {
  const leaving =
    known.filter(({ announcements }) => announcements.isLeaving(now)).length;
  const reason = known.some((each) => each.isEvacuated)
    ? "evacuated"
    : leaving > 0
    ? "leaving"
    : "no-endpoint";
  const { retryAfter = 0 } = refusals.REFUSALS[reason];
  return {
    reason,
    details: { retryAfter, ...(leaving > 0 && { leaving }) },
  };
}
