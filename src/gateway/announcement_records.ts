/** Records the announcements in an answer of an endpoint, whichever call it
 * answers: that it is cold, that it is leaving, and that it asks for a backoff.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";

/** Status of an overloaded endpoint, whether it executed the call or not. */
const SERVICE_UNAVAILABLE = 503;

/** Dependencies, and the request whose answer carries the announcements. */
export interface RecordOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  /** Absent for calls that serve several requests. */
  readonly request?: string;
}

/** Records the announcements in the head of an answer of `endpoint`. */
export function record(
  endpoint: endpoints.Endpoint,
  head: protocols.ReplyHead,
  options: RecordOptions,
): void {
  if (head.isMisdirected) return;
  endpoint.recordCold(head.coldFor ?? 0, options.clock.now());
  recordBrittleness(endpoint, head, options);
  recordLeaving(endpoint, head, options);
  recordBackoff(endpoint, head, options);
}

function recordBrittleness(
  target: endpoints.Endpoint,
  { maxRejections }: protocols.ReplyHead,
  options: RecordOptions,
): void {
  if (maxRejections === "unreadable") return recordUnreadable(target, options);
  const { clock, logger, metrics, request } = options;
  const isAnnounced = maxRejections !== undefined;
  if (!target.brittleness.record(isAnnounced, clock.now())) return;
  const { id: endpoint, service } = target.identity;
  metrics.count("gateway.brittle", 1, { service });
  logger.info(
    { endpoint, service, request, maxRejections, isBrittle: isAnnounced },
    "Endpoint became brittle, or is no longer",
  );
}

function recordLeaving(
  target: endpoints.Endpoint,
  { leaving }: protocols.ReplyHead,
  options: RecordOptions,
): void {
  if (leaving === undefined) return;
  if (leaving === "unreadable") return recordUnreadable(target, options);
  const { clock, logger, metrics, request } = options;
  const { identity, announcements } = target;
  if (!announcements.recordLeaving(clock.now())) return;
  const { id: endpoint, service, address } = identity;
  metrics.count("gateway.leaving", 1, { service });
  logger.info(
    { endpoint, service, address, request },
    "Endpoint announced that it is leaving",
  );
}

function recordBackoff(
  target: endpoints.Endpoint,
  { status, isNotRun, retryAfter }: protocols.ReplyHead,
  options: RecordOptions,
): void {
  const isOverloaded = isNotRun || status === SERVICE_UNAVAILABLE;
  if (retryAfter === undefined || !isOverloaded) return;
  if (retryAfter === "unreadable") return recordUnreadable(target, options);
  const { clock, logger, metrics, request } = options;
  const { identity, announcements } = target;
  const { id: endpoint, service, address } = identity;
  announcements.recordBackoff(retryAfter, clock.now());
  metrics.count("gateway.backoff", 1, { service });
  logger.info(
    { endpoint, service, address, request, status, retryAfterMs: retryAfter },
    "Endpoint rejected a call and asked for a backoff",
  );
}

function recordUnreadable(
  { identity, announcements }: endpoints.Endpoint,
  { clock, logger, metrics, request }: RecordOptions,
): void {
  const { id: endpoint, service } = identity;
  metrics.count("gateway.unreadable", 1, { service });
  if (!announcements.recordUnreadable(clock.now())) return;
  logger.warn(
    { endpoint, service, request },
    "Announcement in a response cannot be parsed; it is ignored",
  );
}
