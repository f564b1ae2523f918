/** Why endpoints accept no calls, and when a caller should retry.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as endpoints from "./endpoint.ts";
import * as endpointPools from "./endpoint_pool.ts";
import * as refusals from "./refusal.ts";

/** Milliseconds over which the retries of callers are spread after the end of a
 * backoff. */
const RETRY_SPREAD_MS = 500;

/** Most endpoints whose announcements a log line names. */
const MAX_NAMED_COUNT = 4;

/** Reason, and details for the answer and the log line of a request. */
export interface Unavailability {
  readonly reason: refusals.RefusalReason;
  readonly details: Readonly<Record<string, unknown>> & {
    /** Seconds until a retry. */
    readonly retryAfter: number;
  };
}

/** Why none of the endpoints of a service accepts a call. */
export function unavailabilityOf(
  known: readonly endpoints.Endpoint[],
  { now, random }: { now: number; random: runtime.Random },
): Unavailability {
  const backoff = earliestReturn(known, now);
  if (backoff !== undefined) {
    const spread = backoff + random.next() * RETRY_SPREAD_MS;
    const retryAfter = refusals.retryDelay(spread);
    const announced = announcementsOf(known, now);
    return { reason: "backoff", details: { retryAfter, announced } };
  }
  const isLeaving = known.some(({ announcements }) =>
    announcements.isLeaving(now)
  );
  const otherwise = isLeaving ? "leaving" : "no-endpoint";
  const isEvacuated = known.some((each) => each.isEvacuated);
  const reason = isEvacuated ? "evacuated" : otherwise;
  const { retryAfter = 0 } = refusals.REFUSALS[reason];
  const announced = isLeaving ? announcementsOf(known, now) : undefined;
  return { reason, details: { retryAfter, announced } };
}

/** Why none of the endpoints that have a version accepts a call. */
export function unavailabilityOfVersion(
  known: readonly endpoints.Endpoint[],
  version: string,
  context: { now: number; random: runtime.Random },
): Pick<Unavailability, "reason"> & {
  readonly details: Readonly<Record<string, unknown>>;
} {
  const remaining = endpointPools.ofVersion(known, version)
    .filter((each) => each.isReady && !each.isReplaced)
    .filter(({ announcements }) => !announcements.isLeaving(context.now));
  if (remaining.length === 0) {
    return { reason: "no-version", details: { neededVersion: version } };
  }
  const { reason, details } = unavailabilityOf(remaining, context);
  return { reason, details: { ...details, neededVersion: version } };
}

/** Announcements in force and rejections of some endpoints, for a log line. */
function announcementsOf(
  known: readonly endpoints.Endpoint[],
  now: number,
): unknown[] {
  return known
    .map(({ identity: { id }, announcements, rejections }) => ({
      endpoint: id,
      ...announcements.dump(now),
      ...rejections.dump(now),
    }))
    .filter((each) => Object.keys(each).length > 1)
    .slice(0, MAX_NAMED_COUNT);
}

/** Why the endpoints of a service accept no call within `objective`
 * milliseconds, by what they have announced. */
export function announcedUnavailability(
  known: readonly endpoints.Endpoint[],
  objective: number,
  context: { now: number; random: runtime.Random },
): Unavailability | undefined {
  const wait = announcedReturn(known, context.now);
  if (wait === 0 || wait < objective) return undefined;
  return unavailabilityOf(known, context);
}

/** Milliseconds until the first of the endpoints accepts calls again by what
 * they have announced; 0 if one does now, or if none has announced a backoff. */
export function announcedReturn(
  known: readonly endpoints.Endpoint[],
  now: number,
): number {
  if (known.some((each) => each.isAccepting(now))) return 0;
  return earliestReturn(known, now) ?? 0;
}

/** Milliseconds until the first of the endpoints that back off accepts calls;
 * undefined if none backs off. */
export function earliestReturn(
  known: readonly endpoints.Endpoint[],
  now: number,
): number | undefined {
  const backoffs = known.map((each) => each.backoff(now))
    .filter((backoff) => backoff > 0);
  return backoffs.length > 0 ? Math.min(...backoffs) : undefined;
}
