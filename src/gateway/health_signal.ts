/** Derives health signals of endpoints from the outcomes of calls.
 * @module */

import type * as telemetry from "../telemetry/mod.ts";
import * as attempts from "./attempt.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";

/** The end of a call. */
export interface CallEnd {
  readonly now: number;
  /** Milliseconds that the call took. */
  readonly duration: number;
  /** Expected wait at the endpoint when the call was sent, relative to the work of
   * a call; undefined if no recent report told. */
  readonly wait?: number;
  /** Whether other endpoints have recently sent something on the same kind of path,
   * so that the path is not at fault. */
  readonly isReceiving: boolean;
  readonly metrics: telemetry.Metrics;
  readonly logger: telemetry.Logger;
}

/** Records the outcome of a call in the state of its endpoint. */
export function record(
  target: endpoints.Endpoint,
  outcome: attempts.Outcome,
  { now, duration, wait, isReceiving, metrics, logger }: CallEnd,
): void {
  const signal = isPathFault(outcome, isReceiving)
    ? undefined
    : signalOf(outcome);
  if (signal !== undefined && target.recordHealth(signal, now)) {
    logEjection(target, { metrics, logger, cause: outcomeName(outcome) });
  }
  if (outcome.type === "failed") {
    const { service } = target.identity;
    metrics.count("gateway.failed", 1, { service, cause: outcome.cause });
    if (outcome.cause === "misdirected") target.isReplaced = true;
  }
  if (outcome.type !== "answer") return;
  const { head } = outcome;
  const { load } = head;
  if (head.status < 400) recordSlowness(target, head, { now, duration, wait });
  if (typeof load === "object") target.recordLoad(load, now);
  target.recordDuration(duration);
}

/** Records that a call has become silent. It counts as failed until it goes
 * on, so that few calls go to an endpoint that is silent for good. */
export function recordSilence(
  target: endpoints.Endpoint,
  { now, isReceiving, metrics, logger }: Omit<CallEnd, "duration" | "wait">,
): void {
  metrics.count("gateway.silences", 1, { service: target.identity.service });
  if (isReceiving && target.recordHealth("bad", now)) {
    logEjection(target, { metrics, logger, cause: "silent" });
  }
}

/** Records that a silent call goes on. Its first silence does not count any more,
 * since the endpoint is sound; one that is silent again and again is not. */
export function recordResumption(
  target: endpoints.Endpoint,
  { now, metrics, isFirst }: Pick<CallEnd, "now" | "metrics"> & {
    /** Whether the call was silent for the first time. */
    readonly isFirst: boolean;
  },
): void {
  metrics.count("gateway.resumptions", 1, {
    service: target.identity.service,
  });
  if (isFirst) target.revokeFailure(now);
}

/** Records how slow a call without a prompt was. */
function recordSlowness(
  target: endpoints.Endpoint,
  { load }: protocols.ReplyHead,
  { now, duration, wait }: Pick<CallEnd, "now" | "duration" | "wait">,
): void {
  if (target.engine !== undefined) return;
  const reported = typeof load === "object"
    ? target.waitAtAnswer(load)
    : undefined;
  const known = wait ?? reported ?? 0;
  target.recordCallSlowness(duration, { wait: known, now });
}

/** Health signal of an outcome for the hosts that choose the endpoint too;
 * undefined if it shows nothing of the endpoint, or may show only the state of
 * this host's path to it. */
export function reportedSignalOf(
  outcome: attempts.Outcome,
  isReceiving: boolean,
): endpoints.HealthSignal | undefined {
  const isUnreachable = outcome.type === "failed" &&
    outcome.cause === "unreachable";
  if (isUnreachable && !isReceiving) return undefined;
  // Other hosts learn of a silence only once the call has not gone on.
  const isSilent = outcome.type === "failed" && outcome.cause === "silent";
  if (isSilent) return isReceiving ? "bad" : undefined;
  return isPathFault(outcome, isReceiving) ? undefined : signalOf(outcome);
}

/** Whether a call may have failed by a fault of the path. That no connection
 * could be opened counts as a fault of the endpoint at this host, which then
 * prefers others. */
function isPathFault(outcome: attempts.Outcome, isReceiving: boolean): boolean {
  return !isReceiving && attempts.mayHaveCrashed(outcome);
}

/** Why an endpoint is ejected. */
export interface Ejection extends Pick<CallEnd, "metrics" | "logger"> {
  /** Outcome of the last of this host's failed calls. */
  readonly cause?: string;
  /** Host whose failed calls were reported to this one. */
  readonly reportedBy?: string;
}

/** Logs and counts that an endpoint is ejected. */
export function logEjection(
  { identity }: endpoints.Endpoint,
  { metrics, logger, cause, reportedBy }: Ejection,
): void {
  const { id: endpoint, service } = identity;
  const by = reportedBy === undefined ? "own" : "reported";
  metrics.count("gateway.ejected", 1, { service, by });
  logger.info(
    { endpoint, service, cause, reportedBy },
    "Endpoint ejected after consecutive failures",
  );
}

/** Health signal of an outcome; undefined if it shows nothing of the
 * endpoint. */
export function signalOf(
  outcome: attempts.Outcome,
): endpoints.HealthSignal | undefined {
  if (outcome.type === "ended") return "good";
  if (outcome.type === "answer") {
    return outcome.head.status >= 500 ? "bad" : "good";
  }
  const { cause } = outcome;
  if (NEUTRAL_CAUSES.has(cause)) return undefined;
  if (cause === "lacks-input") return "good";
  return cause === "full" ? "full" : "bad";
}

const NEUTRAL_CAUSES: ReadonlySet<attempts.FailureCause> = new Set([
  "cancelled",
  "deadline",
  "withheld",
  // Recorded when the call became silent.
  "silent",
]);

/** Name of an outcome in logs: a status or a cause of failure. */
export function outcomeName(outcome: attempts.Outcome): string {
  if (outcome.type === "failed") return outcome.cause;
  return outcome.type === "answer" ? `${outcome.head.status}` : "ended";
}
