/** Records the announcements in an answer of an endpoint, whichever call it
 * answers: that it is cold, that it is leaving, and that it asks for a backoff.
 * Those that cannot be parsed are counted and logged, load reports included.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as announcementKinds from "./announcements.ts";
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
  const unreadable = unreadableKinds(head);
  if (unreadable.length > 0) recordUnreadable(endpoint, unreadable, options);
}

function recordBrittleness(
  target: endpoints.Endpoint,
  { maxRejections }: protocols.ReplyHead,
  options: RecordOptions,
): void {
  if (maxRejections === "unreadable") return;
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
  if (leaving !== "announced") return;
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
  head: protocols.ReplyHead,
  options: RecordOptions,
): void {
  const { status, retryAfter } = head;
  if (typeof retryAfter !== "number" || !isOverloaded(head)) return;
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

function isOverloaded({ status, isNotRun }: protocols.ReplyHead): boolean {
  return isNotRun || status === SERVICE_UNAVAILABLE;
}

/** Announcements in an answer that cannot be parsed. */
function unreadableKinds(
  head: protocols.ReplyHead,
): announcementKinds.Kind[] {
  const values = {
    brittle: head.maxRejections,
    leaving: head.leaving,
    load: head.load,
    backoff: isOverloaded(head) ? head.retryAfter : undefined,
  };
  const kinds = Object.keys(values) as (keyof typeof values)[];
  return kinds.filter((kind) => values[kind] === "unreadable");
}

function recordUnreadable(
  { identity, announcements }: endpoints.Endpoint,
  kinds: readonly announcementKinds.Kind[],
  { clock, logger, metrics, request }: RecordOptions,
): void {
  const { id: endpoint, service } = identity;
  for (const kind of kinds) {
    metrics.count("gateway.unreadable", 1, { service, kind });
  }
  const now = clock.now();
  const logged = kinds.filter((kind) =>
    announcements.recordUnreadable(kind, now)
  );
  if (logged.length === 0) return;
  logger.warn(
    { endpoint, service, request, kinds: logged },
    "Announcement in a response cannot be parsed; it is ignored",
  );
}
